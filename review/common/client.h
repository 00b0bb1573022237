/// A client of the RESP front.
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "net/socket.h"
#include "net/stream.h"

namespace pathstack::review {

/// 16 hex digits.
inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

/// A request as an array of bulk strings.
inline std::string resp_array(const std::vector<std::string>& words) {
  std::string out = '*' + std::to_string(words.size()) + "\r\n";
  for (const auto& word : words) out += '$' + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}

/// One connection to an invoker. Hands each whole answer, as its words, to `on_answer`.
class Client final : public net::Stream {
 public:
  using Words = std::vector<std::string>;
  Client(net::Loop& loop, net::BufferPool& pool, const std::string& address)
      : Stream(loop, pool, net::connect_to(address), true) {}

  std::function<void(Client&, const Words&)> on_answer;
  std::function<void(Client&)> on_connected, on_ended;

 private:
  std::string input_;

  void connected() override {
    if (on_connected) on_connected(*this);
  }
  void ended() override {
    if (on_ended) on_ended(*this);
  }
  void received(std::string_view bytes) override {
    input_ += bytes;
    std::size_t at = 0;
    while (const std::size_t size = take_answer(at)) at += size;
    input_.erase(0, at);
  }

  // The size of the whole answer at `from`; 0 if there is none yet.
  std::size_t take_answer(std::size_t from) {
    std::size_t at = from;
    const auto number = [&](char prefix) -> long {
      const auto end = input_.find("\r\n", at);
      if (end == std::string::npos || input_[at] != prefix) return -1;
      const long value = std::stol(input_.substr(at + 1, end - at - 1));
      at = end + 2;
      return value;
    };
    if (at >= input_.size()) return 0;
    const long count = number('*');
    if (count <= 0) return 0;
    Words words;
    for (long i = 0; i < count; ++i) {
      if (at >= input_.size()) return 0;
      const long size = number('$');
      if (size < 0 || at + static_cast<std::size_t>(size) + 2 > input_.size()) return 0;
      words.push_back(input_.substr(at, static_cast<std::size_t>(size)));
      at += static_cast<std::size_t>(size) + 2;
    }
    if (on_answer) on_answer(*this, words);
    return at - from;
  }
};

}  // namespace pathstack::review

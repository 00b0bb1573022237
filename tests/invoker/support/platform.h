/// An invoker with a RESP front and stand-in hosts, and a client of it.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net/fields.h"
#include "resp/front.h"
#include "support/call.h"
#include "support/world.h"

namespace pathstack::test {

/// A client of the RESP front that collects all replies.
class Client final : public net::Stream {
 public:
  Client(World& world, const std::string& address)
      : Stream(world.loop, world.pool, net::connect_to(address), true), world_(world) {}
  /// Sends an array of words as one RESP command.
  void send_command(const std::vector<std::string_view>& words) {
    std::string out;
    resp::write_array(out, words);
    write(out);
  }
  /// Sends a CALL whose client waits `allow` milliseconds.
  void call(const std::string& tag, const std::string& cls, const std::string& body, int allow = 1000) {
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(tag + body)) +
                               ",allow=" + std::to_string(allow) +
                               ",lookup=00000000000000a1,spec=memory_mb:300;lanes:4";
    send_command({"CALL", tag, cls, fields, body});
  }
  /// Waits for the reply under `tag`; null if none arrives or the connection ends before.
  const resp::Words* answer(const std::string& tag) {
    const auto has = [&] {
      return std::any_of(replies.begin(), replies.end(), [&](const auto& w) { return w[0] == tag; });
    };
    if (!world_.turn_until([&] { return has() || closed; }, 20000) || !has()) return nullptr;
    return &*std::find_if(replies.begin(), replies.end(), [&](const auto& w) { return w[0] == tag; });
  }
  std::vector<resp::Words> replies;
  bool closed = false;

 private:
  World& world_;
  resp::Parser parser_;
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override { REQUIRE(parser_.take(bytes, replies)); }
  void ended() override { closed = true; }
};

/// An invoker with a RESP front that listens on loopback.
struct FrontFixture {
  World world;
  resp::Front front;
  explicit FrontFixture(std::size_t hosts, resp::Front::Limits limits = {}, std::size_t write_buffers = 4096)
      : world(hosts, settings(), World::limits(), write_buffers),
        front(world.loop, world.pool, world.dispatcher, world.counters, limits) {
    REQUIRE(front.listen("127.0.0.1:0"));
  }
};

}  // namespace pathstack::test

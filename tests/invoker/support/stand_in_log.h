/// A stand-in for the membership log.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "feed/line_splitter.h"
#include "support/random.h"
#include "support/server.h"

namespace pathstack::test {

/// Answers `since N` with all later events and the number of the last one. Cuts the reply off after a random
/// part if `truncates_replies`, then closes the connection unless `stays_open`.
struct StandInLog {
  class Peer final : public net::Stream {
   public:
    Peer(StandInLog& log, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), log_(log) {}

   private:
    StandInLog& log_;
    feed::LineSplitter splitter_;
    void received(std::string_view bytes) override {
      std::vector<std::string> lines;
      REQUIRE(splitter_.take(bytes, lines));
      for (const auto& line : lines) {
        REQUIRE(line.compare(0, 6, "since ") == 0);
        log_.requested_since.push_back(std::stoull(line.substr(6)));
        std::string text;
        if (log_.requested_since.size() <= log_.replies.size())
          text = log_.replies[log_.requested_since.size() - 1];
        for (std::size_t i = log_.requested_since.back(); i < log_.events; ++i) {
          const std::string number = std::to_string(i + 1);
          const bool malformed = log_.malformed_once == i + 1 && log_.requested_since.size() == 1;
          text += R"({"seq":)" + number + R"(,"fleet":{"complete":false,"members":[{")" +
                  (malformed ? "i" : "id") + R"(":"s)" + number +
                  R"(","host_port":"127.0.0.1:9","phase":"ready"}]}})" + "\n";
        }
        text += std::to_string(log_.events) + "\n";
        write(text.substr(0, log_.truncates_replies ? below(log_.random, text.size() + 1) : text.size()));
        flush_now();
        if (!log_.stays_open) end_later();
      }
    }
    void ended() override { log_.server.gone(*this); }
  };
  StandInLog(net::Loop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  Random random{6};
  Server<Peer, StandInLog> server;
  std::size_t events = 20;                     // number of the last event
  std::vector<std::uint64_t> requested_since;  // the number of each request
  std::size_t malformed_once = 0;              // event whose row has no id in the reply to the first request
  bool stays_open = false, truncates_replies = true;
  std::vector<std::string> replies;  // text to send before the events, by request
};

}  // namespace pathstack::test

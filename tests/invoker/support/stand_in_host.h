/// A stand-in for worker hosts that injects the faults that a test selects.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hosts/line_parser.h"
#include "support/server.h"

namespace pathstack::test {

/// How a stand-in host reacts to one `exec` request:
/// - `reply`: answers with `word`;
/// - `silence`: never answers;
/// - `truncated`: sends half of an answer, then closes the connection;
/// - `close`: closes the connection without an answer;
/// - `stall`: sends half of an answer, then nothing more on the connection;
/// - `duplicate`: sends the answer twice;
/// - `unknown_ref`: sends an answer under a ref that was never used, then the right one;
/// - `malformed`: sends a reply that cannot be decoded, then the answer;
/// - `missing_length`: sends an answer that ends before its length;
/// - `unfinished`: sends most of an answer of 1 MB, then nothing more on the connection.
struct Reaction {
  enum Kind {
    reply,
    silence,
    truncated,
    close,
    stall,
    duplicate,
    unknown_ref,
    malformed,
    missing_length,
    unfinished
  } kind = reply;
  std::string word = "data";
};

/// Speaks the line protocol on a loopback address and counts the requests that it gets.
class StandInHost {
 public:
  StandInHost(net::Loop& loop, net::BufferPool& pool, const std::string& address = "127.0.0.1:0")
      : server(loop, pool, *this, address) {}
  class Peer final : public net::Stream {
   public:
    Peer(StandInHost& host, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), host_(host) {}

    bool stalled = false;

   private:
    StandInHost& host_;
    hosts::LineParser parser_;  // requests have the form of answers, with the verb first
    void received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.take(bytes, lines));
      for (const auto& line : lines) host_.take(*this, line);
    }
    void ended() override { host_.server.gone(*this); }
  };
  Server<Peer, StandInHost> server;
  std::function<Reaction(const std::string& body)> react = [](const std::string&) { return Reaction(); };
  std::map<std::string, int> runs;  // by body: execs that may have run
  std::string last_fields;          // of the last exec, undecoded
  int execs = 0, cancels = 0, orders = 0;
  bool ignores_health_checks = false;  // as if the network to the host had failed
  bool ignores_load_orders = false;    // counts load orders but does not answer them

 private:
  void take(Peer& peer, const hosts::Reply& line) {
    if (line.id == "drop") ++cancels;
    if (peer.stalled) return;
    if (line.id == "health" && !ignores_health_checks) peer.write(line.word + " well - 0\r\n\r\n");
    if (line.id == "load") peer.write(line.word + " well l=inflight:1;util:0.5 0\r\n\r\n");
    if (line.id == "ensure") {
      ++orders;
      if (ignores_load_orders) return;
      peer.write(line.word + " data count=1\r\n");
    }
    if (line.id != "exec") return;
    ++execs;
    last_fields = line.fields;
    const std::string body = line.body.value_or("");
    const Reaction reaction = react(body);
    if (reaction.kind != Reaction::reply || reaction.word == "data" || reaction.word == "failed")
      ++runs[body];
    const std::string whole = line.word + ' ' + reaction.word + " l=inflight:1;util:0.5 " +
                              std::to_string(body.size()) + "\r\n" + body + "\r\n";
    if (reaction.kind == Reaction::unknown_ref) peer.write("00000000000000ff data - 1\r\nx\r\n");
    if (reaction.kind == Reaction::missing_length) return peer.write(line.word + " data -\r\n");
    if (reaction.kind == Reaction::malformed) peer.write(line.word + " d\x01ta =,= 3\r\nxyz\r\n");
    if (reaction.kind == Reaction::duplicate) peer.write(whole);
    if (reaction.kind == Reaction::unfinished) {
      peer.stalled = true;
      return peer.write(line.word + " data - 1048576\r\n" + std::string(1000000, 'u'));
    }
    if (reaction.kind <= Reaction::reply || reaction.kind >= Reaction::duplicate) peer.write(whole);
    peer.stalled = reaction.kind == Reaction::stall;
    if (peer.stalled) peer.write(whole.substr(0, whole.size() / 2));
    if (reaction.kind == Reaction::truncated) peer.write(whole.substr(0, whole.size() / 2));
    if (reaction.kind == Reaction::truncated) peer.flush_now();
    if (reaction.kind == Reaction::truncated || reaction.kind == Reaction::close) peer.end_later();
  }
};

}  // namespace pathstack::test

// Tests the membership client over connections that are lost, slow or moved.
#include <catch2/catch.hpp>
#include <cerrno>
#include <memory>

#include "feed/membership_client.h"
#include "net/system_calls.h"
#include "support/settings.h"
#include "support/stand_in_log.h"

namespace pathstack::test {
namespace {

TEST_CASE(
    "after a connection is cut anywhere the membership client resumes; each event is reported once, in "
    "order") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog log(loop, pool);
  std::vector<std::string> updates, all;
  for (int i = 4; i <= 20; ++i) all.push_back("s" + std::to_string(i));
  feed::MembershipClient client(loop, pool, counters, log.server.address(), feed::EventSequence(3),
                                [&](const core::MemberList& list) {
                                  for (const auto& m : list.members) updates.push_back(m.entry.worker);
                                });
  client.start();
  for (int i = 0; i < 5000 && updates.size() < all.size(); ++i) loop.turn(loop.now() + Millis(20), [] {});
  CHECK(updates == all);
  CHECK(log.requested_since.size() > 1);
  CHECK(log.requested_since.front() == 3);
  CHECK(std::is_sorted(log.requested_since.begin(), log.requested_since.end()));
}

TEST_CASE(
    "when the membership log moves, the client requests events at the new address and closes the old "
    "connection") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog old(loop, pool), next(loop, pool);
  old.events = 3;
  old.stays_open = true;
  std::vector<std::string> updates;
  feed::MembershipClient client(
      loop, pool, counters, old.server.address(), feed::EventSequence(3),
      [&](const core::MemberList& list) { updates.push_back(list.members.at(0).entry.worker); });
  const auto turn_until = [&](const auto& until) {
    for (int i = 0; i < 5000 && !until(); ++i) loop.turn(loop.now() + Millis(20), [] {});
    return until();
  };
  client.start();
  REQUIRE(turn_until([&] { return old.requested_since.size() == 1; }));
  client.switch_address(next.server.address());
  REQUIRE(turn_until([&] { return updates.size() == 17; }));
  CHECK(updates.front() == "s4");
  CHECK(next.requested_since.front() == 3);
  CHECK(turn_until([&] { return old.server.peers.empty(); }));
  CHECK(old.requested_since.size() == 1);
  CHECK(counters.value(core::Counter::feed_moves) == 1);
}

TEST_CASE("a membership log that stops within an event and stays open is requested again") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog log(loop, pool);
  log.events = 1;
  log.stays_open = true;
  std::size_t updates = 0;
  feed::MembershipClient client(loop, pool, counters, log.server.address(), feed::EventSequence(0),
                                [&](const core::MemberList&) { ++updates; });
  client.start();
  Millis next = loop.now();
  for (int i = 0; i < 5000 && log.requested_since.size() < 2; ++i) {
    loop.turn(loop.now() + Millis(20), [] {});
    if (loop.now() < next) continue;
    next = loop.now() + Millis(20);
    for (const auto& peer : log.server.peers) peer->write("x");  // bytes arrive, but no line is completed
  }
  CHECK(log.requested_since.size() == 2);
  CHECK(log.requested_since.back() == updates);
}

// Regression: an event with a row that cannot be read was skipped, and its host was lost for good.
TEST_CASE("an event with a host that cannot be read is requested again, and reported once it can be read") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog log(loop, pool);
  log.events = 4;
  log.malformed_once = 3;
  log.truncates_replies = false;
  log.stays_open = true;
  std::vector<std::string> updates;
  feed::MembershipClient client(
      loop, pool, counters, log.server.address(), feed::EventSequence(0),
      [&](const core::MemberList& list) { updates.push_back(list.members.at(0).entry.worker); });
  client.start();
  for (int i = 0; i < 5000 && updates.size() < 4; ++i) loop.turn(loop.now() + Millis(20), [] {});
  CHECK(updates == std::vector<std::string>{"s1", "s2", "s3", "s4"});
  CHECK(log.requested_since == std::vector<std::uint64_t>{0, 2});
  CHECK(counters.value(core::Counter::feed_malformed_or_gap) == 1);
}

std::string row_of(std::size_t host) {
  return R"({"id":"s-)" + std::to_string(host) +
         R"(","host_port":"127.0.0.1:9","locality":"east","phase":"ready"})";
}

std::string complete_list(std::size_t hosts) {
  std::string text = R"({"seq":7,"fleet":{"revision":1,"complete":true,"members":[)";
  for (std::size_t i = 0; i < hosts; ++i) text += (i > 0 ? "," : "") + row_of(i);
  return text + "]}}\n";
}

// Regression: a host list over 1 MiB was never accepted, and was requested again without end.
TEST_CASE("a complete list of many hosts is applied; half of the list changes nothing") {
  constexpr std::size_t kHosts = 20000;
  net::Loop loop;
  net::BufferPool pool(256);
  core::Counters counters;
  StandInLog log(loop, pool);
  log.events = 0;
  log.truncates_replies = false;
  const std::string text = complete_list(kHosts);
  REQUIRE(text.size() > feed::kDefaultMaxEventBytes);
  log.replies = {text.substr(0, text.size() / 2), text};
  std::vector<core::MemberList> updates;
  feed::MembershipClient client(
      loop, pool, counters, log.server.address(), feed::EventSequence(0),
      [&](const core::MemberList& list) { updates.push_back(list); }, 16U << 20);
  client.start();
  for (int i = 0; i < 5000 && updates.empty(); ++i) loop.turn(loop.now() + Millis(20), [] {});
  REQUIRE(updates.size() == 1);
  CHECK(log.requested_since == std::vector<std::uint64_t>{0, 0});
  CHECK(updates[0].complete);
  REQUIRE(updates[0].members.size() == kHosts);
  CHECK(updates[0].members.back().entry.worker == "s-" + std::to_string(kHosts - 1));
}

TEST_CASE("a host row over 64 KiB makes its event malformed, and no other event") {
  const auto list = [](const std::string& row) {
    return R"({"seq":1,"fleet":{"complete":true,"members":[)" + row_of(1) + "," + row + "]}}";
  };
  const std::string large = R"({"id":"s","phase":"ready","note":")" + std::string(70000, 'x') + "\"}";
  const std::string fits = R"({"id":"s","phase":"ready","note":")" + std::string(60000, 'x') + "\"}";
  feed::EventSequence log;
  core::MemberList out;
  CHECK(log.read_line(list(large), out) == feed::EventSequence::Result::malformed);
  CHECK(log.last() == 0);
  CHECK(log.read_line(list(fits), out) == feed::EventSequence::Result::update);
  CHECK(out.members.size() == 2);
  CHECK(log.read_line(list(fits).substr(0, 100), out) == feed::EventSequence::Result::malformed);
}

// A membership log under load: sends the same text for each request, one piece every 10 ms.
struct TricklingLog {
  class Peer final : public net::Stream {
   public:
    Peer(TricklingLog& log, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), log_(log) {}
    ~Peer() override { loop().cancel(timer_); }

   private:
    TricklingLog& log_;
    net::Loop::TimerId timer_{};
    std::size_t written_ = 0;
    void received(std::string_view) override {
      ++log_.requests;
      write_piece();
    }
    void write_piece() {
      if (written_ >= log_.text.size()) return;
      write(log_.text.substr(written_, log_.piece));
      written_ += log_.piece;
      timer_ = loop().at(loop().now() + Millis(10), [this] { write_piece(); });
    }
    void ended() override { log_.server.gone(*this); }
  };
  TricklingLog(net::Loop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  std::string text;
  std::size_t piece = 1;
  std::size_t requests = 0;
  Server<Peer, TricklingLog> server;
};

// Regression: a list that took longer than the line timeout was cut off and requested again, without end.
TEST_CASE("a complete list that a loaded log sends slowly is applied in the end") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  TricklingLog log(loop, pool);
  log.text = complete_list(5);
  log.piece = log.text.size() / 100 + 1;  // takes at least 1 s, five times the first line timeout
  feed::Timeouts timeouts;
  timeouts.line_initial = Millis(200);
  std::vector<core::MemberList> updates;
  feed::MembershipClient client(
      loop, pool, counters, log.server.address(), feed::EventSequence(0),
      [&](const core::MemberList& list) { updates.push_back(list); }, feed::kDefaultMaxEventBytes, 7,
      timeouts);
  client.start();
  const Millis end = loop.now() + Millis(20000);
  while (updates.empty() && loop.now() < end) loop.turn(loop.now() + Millis(5), [] {});
  REQUIRE(updates.size() == 1);
  CHECK(updates[0].members.size() == 5);
  CHECK(log.requests >= 2);
  CHECK(counters.value(core::Counter::feed_line_late) == log.requests - 1);
}

TEST_CASE("each staleness timeout that expires doubles the next, up to its bound; received data resets it") {
  feed::StalenessTimeout staleness{feed::Timeouts()};
  CHECK(staleness.silence() == Millis(1600));
  staleness.silence_expired();
  CHECK(staleness.line() == Millis(1600));
  for (int i = 0; i < 20; ++i) staleness.silence_expired();
  // Below the 4 s after which the events of a stopped log count as delivered.
  CHECK(staleness.silence() == Millis(3000));
  staleness.line_expired();
  CHECK(staleness.line() == Millis(3200));
  for (int i = 0; i < 20; ++i) staleness.line_expired();
  CHECK(staleness.line() == Millis(60000));
  staleness.line_received();
  CHECK(staleness.silence() == Millis(1600));
  CHECK(staleness.line() == Millis(60000));
  staleness.update_received();
  CHECK(staleness.line() == Millis(1600));
}

std::vector<double> draw_delays(feed::Backoff& backoff, int count) {
  std::vector<double> out(static_cast<std::size_t>(count));
  for (double& delay : out) delay = backoff.next().count();
  return out;
}

TEST_CASE("backoff delays double within their bounds, and depend on the seed only") {
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    feed::Backoff backoff(Millis(50), Millis(500), seed), same(Millis(50), Millis(500), seed);
    feed::Backoff other(Millis(50), Millis(500), seed + 1);
    const auto drawn = draw_delays(backoff, 10);
    CHECK(drawn == draw_delays(same, 10));
    CHECK(drawn != draw_delays(other, 10));
    double ceiling = 50;
    for (const double delay : drawn) {
      CHECK(delay >= ceiling / 2);
      CHECK(delay < ceiling);
      ceiling = std::min(ceiling * 2, 500.0);
    }
    backoff.reset();
    CHECK(backoff.next() < Millis(50));
  }
}

// Fails the first connects at once, as on a machine without a route.
class UnreachableAtFirst final : public net::SystemCalls {
 public:
  int connect(int fd, const sockaddr* address, socklen_t size) override {
    if (++connects > kFailing) return SystemCalls::connect(fd, address, size);
    errno = ENETUNREACH;
    return -1;
  }
  static constexpr int kFailing = 3;
  int connects = 0;
};

TEST_CASE("the client reconnects with backoff to a membership log that cannot be reached") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog log(loop, pool);
  log.truncates_replies = false;
  log.stays_open = true;
  UnreachableAtFirst calls;
  const net::ScopedSystemCalls scope(calls);
  std::size_t updates = 0;
  feed::MembershipClient client(loop, pool, counters, log.server.address(), feed::EventSequence(0),
                                [&](const core::MemberList&) { ++updates; });
  const Millis began = loop.now();
  client.start();
  CHECK(calls.connects == 1);
  for (int i = 0; i < 5000 && updates < 20; ++i) loop.turn(loop.now() + Millis(20), [] {});
  CHECK(updates == 20);
  CHECK(calls.connects == UnreachableAtFirst::kFailing + 1);
  CHECK(loop.now() - began >= Millis(25 + 50 + 100));  // the shortest delays; none is skipped
}

TEST_CASE(
    "each event is reported once while the membership log moves back and forth, also to a closed port") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog first(loop, pool), second(loop, pool);
  auto gone = std::make_unique<StandInLog>(loop, pool);
  const std::string dead = gone->server.address();
  gone.reset();
  for (StandInLog* log : {&first, &second}) {
    log->truncates_replies = false;
    log->stays_open = true;
    log->events = 3;
  }
  std::vector<std::string> updates, all;
  for (int i = 1; i <= 20; ++i) all.push_back("s" + std::to_string(i));
  feed::MembershipClient client(
      loop, pool, counters, first.server.address(), feed::EventSequence(0),
      [&](const core::MemberList& list) { updates.push_back(list.members.at(0).entry.worker); });
  const auto turn_until = [&](const auto& until) {
    for (int i = 0; i < 5000 && !until(); ++i) loop.turn(loop.now() + Millis(20), [] {});
    return until();
  };
  client.start();
  REQUIRE(turn_until([&] { return updates.size() == 3; }));
  client.switch_address(second.server.address());  // several moves in one turn: the last one counts
  client.switch_address(first.server.address());
  client.switch_address(dead);
  client.switch_address(second.server.address());
  second.events = 5;
  REQUIRE(turn_until([&] { return updates.size() == 5; }));
  client.switch_address(dead);
  for (int i = 0; i < 20; ++i) loop.turn(loop.now() + Millis(20), [] {});
  first.events = 20;
  client.switch_address(first.server.address());
  REQUIRE(turn_until([&] { return updates.size() == 20; }));
  CHECK(updates == all);
  CHECK(first.requested_since == std::vector<std::uint64_t>{0, 5});
  CHECK(counters.value(core::Counter::feed_moves) == 6);
  CHECK(turn_until([&] { return second.server.peers.empty(); }));
}

}  // namespace
}  // namespace pathstack::test

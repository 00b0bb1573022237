// Tests of local and network faults on connections to hosts, and of the conclusions drawn from them about a
// host.
#include <catch2/catch.hpp>
#include <cerrno>
#include <map>

#include "hosts/connection.h"
#include "support/call.h"
#include "support/scripted_calls.h"
#include "support/world.h"

namespace pathstack::test {
namespace {

using core::Outcome;
using Kind = Reaction::Kind;

constexpr int kMaxTurns = 20000;
constexpr Millis kMaxWait{10000};

struct RecordingFront final : core::Front {
  std::vector<core::CallStatus> statuses;
  void answer(core::CallId, core::Answer&& answer) override { statuses.push_back(answer.status); }
};

void take_call(World& world, RecordingFront& front, const std::string& ref, Millis allow) {
  core::Call call = call_of(ref, world.loop.now(), allow);
  const bool taken = world.dispatcher.take(world.dispatcher.next_id(), std::move(call), front);
  REQUIRE(taken);
}

/// One connection to one stand-in host, without a pool or a dispatcher.
struct SingleConnection final : hosts::ConnectionObserver {
  net::Loop loop;
  net::BufferPool pool{64};
  core::Counters counters;
  hosts::Limits limits = World::limits();
  StandInHost host{loop, pool};
  std::shared_ptr<hosts::Connection> connection;
  std::map<core::Attempt, Outcome> attempts;
  std::vector<Outcome> loads, probes;
  bool closed = false;

  SingleConnection() {
    host.react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  }
  void connect() {
    ConnectionObserver& observer = *this;
    net::ConnectResult result = net::begin_connect(host.server.address());
    REQUIRE(result.fault == net::ConnectFault::none);
    connection = std::make_shared<hosts::Connection>(loop, pool, counters, limits, observer, "h0",
                                                     std::move(result.socket));
  }
  template <typename Until>
  bool turn_until(const Until& until) {
    const Millis limit = loop.now() + kMaxWait;
    while (loop.now() < limit && !until()) loop.turn(loop.now() + Millis(20), [] {});
    return until();
  }
  void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) override {
    attempts[attempt] = end.outcome;
  }
  void on_load_ended(core::LoadOutcome&& end) override { loads.push_back(end.outcome); }
  void on_probe_ended(core::ProbeOutcome&& end) override { probes.push_back(end.outcome); }
  void on_connection_closed(hosts::Connection&) override { closed = true; }
  bool take_load_budget() override { return true; }
  bool may_still_write(Millis) override { return may_write_after_waiting; }
  bool may_buffer(std::size_t, std::size_t) override { return may_buffer_answers; }
  void on_buffered_changed(std::ptrdiff_t change) override { buffered_bytes += change; }
  bool may_write_after_waiting = true, may_buffer_answers = true;
  std::ptrdiff_t buffered_bytes = 0;
};

// Guards against local connect faults that make the decision module suspect or eject the host.
TEST_CASE("a call is retried after a short local fault, and its host is not probed") {
  const int error = GENERATE(EADDRNOTAVAIL, ENETUNREACH, ENFILE, EMFILE, ENOBUFS, ENOMEM, EAGAIN);
  const bool of_socket = GENERATE(false, true);
  World world(1);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  (of_socket ? calls.socket_error : calls.connect_error) = error;
  take_call(world, front, "000000000000000a", Millis(1400));
  CHECK(world.counters.value(core::Counter::hosts_connect_local_faults) == 1);
  CHECK(world.counters.value(core::Counter::hosts_connect_failed) == 0);
  calls.socket_error = calls.connect_error = 0;
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, kMaxTurns));
  CHECK(front.statuses == std::vector<core::CallStatus>{core::CallStatus::served});
  CHECK(world.host[0]->execs == 1);
  CHECK(world.counters.value(core::Counter::hosts_probes) == 0);
  CHECK(world.counters.value(core::Counter::hosts_links_opened) == 1);
}

TEST_CASE("a lasting local fault ends a call as refused after a bounded number of connects") {
  core::Settings s = settings();
  s.max_attempts = 1000;  // the backoff is the only bound
  World world(1, s);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.connect_error = EADDRNOTAVAIL;
  take_call(world, front, "000000000000000a", Millis(500));
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, kMaxTurns));
  CHECK(front.statuses == std::vector<core::CallStatus>{core::CallStatus::refused});
  // Delays of 4, 8, 16 and 32 ms, then of 64 ms: at most twelve within 500 ms, and six shorter ones near the
  // deadline.
  CHECK(calls.connects >= 2);
  CHECK(calls.connects <= 18);
  calls.connect_error = 0;
  take_call(world, front, "000000000000000b", Millis(1400));
  REQUIRE(world.turn_until([&] { return front.statuses.size() == 2; }, kMaxTurns));
  CHECK(front.statuses[1] == core::CallStatus::served);
  CHECK(world.counters.value(core::Counter::hosts_probes) == 0);
}

TEST_CASE("attempts that failed for a local fault do not count against the limit of a call") {
  core::Settings s = settings();
  s.max_attempts = 1;
  World world(1, s);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.connect_error = ENOBUFS;
  calls.connect_faults = 3;
  take_call(world, front, "000000000000000a", Millis(1400));
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, kMaxTurns));
  CHECK(front.statuses == std::vector<core::CallStatus>{core::CallStatus::served});
  CHECK(calls.connects == 4);
  CHECK(world.counters.value(core::Counter::guard_send_stopped) == 0);
}

TEST_CASE("a load order or probe that failed for a local fault does not cause a probe of its host") {
  World world(1);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  take_call(world, front, "000000000000000a", Millis(1400));  // the module knows the function after this call
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, kMaxTurns));
  world.host[0]->server.peers.front()->end_later();
  REQUIRE(world.turn_until([&] { return world.counters.value(core::Counter::hosts_links_ended) == 1; },
                           kMaxTurns));
  calls.connect_error = ENETUNREACH;
  const int connects_before = calls.connects;
  world.fleet.order_load("h0", 0xa1, 1);
  world.fleet.probe("h0");
  CHECK(calls.connects == connects_before + 2);
  const Millis until = world.loop.now() + Millis(100);
  REQUIRE(world.turn_until([&] { return world.loop.now() >= until; }, kMaxTurns));
  CHECK(calls.connects == connects_before + 2);
}

TEST_CASE("a connect that is interrupted by a signal completes") {
  World world(1);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.interrupt_connects = true;
  take_call(world, front, "000000000000000a", Millis(1400));
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, kMaxTurns));
  CHECK(front.statuses == std::vector<core::CallStatus>{core::CallStatus::served});
  CHECK(calls.connects == 1);
}

TEST_CASE("a connect distinguishes a local fault, a refusal and a malformed address") {
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  CHECK(net::begin_connect("no address").fault == net::ConnectFault::address);
  for (const int error : {ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH}) {
    calls.connect_error = error;
    CHECK(net::begin_connect("127.0.0.1:9").fault == net::ConnectFault::remote);
  }
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN, EPERM}) {
    calls.connect_error = error;
    CHECK(net::begin_connect("127.0.0.1:9").fault == net::ConnectFault::local);
  }
}

TEST_CASE("a refused connection is a failure of the host, and nothing ran") {
  SingleConnection single;
  single.host.server.stop();
  single.connect();
  single.connection->exec({1, 0}, call_of("000000000000000a"), Millis(1000));
  REQUIRE(single.turn_until([&] { return single.closed; }));
  CHECK(single.attempts.at({1, 0}) == Outcome::connect_failed);
}

// Guards against reporting every end of a connection as a reset, which indicates a dead process.
TEST_CASE("only a close or a reset indicates that the process died; a network failure does not") {
  SingleConnection single;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  single.connect();
  single.connection->exec({1, 0}, call_of("000000000000000a"), Millis(5000));
  single.connection->order_load("t1", 0xa1, 1);
  single.host.ignores_load_orders = true;
  REQUIRE(single.turn_until([&] { return single.host.execs == 1 && single.host.orders == 1; }));
  Outcome expected = Outcome::reset;
  SECTION("read fails") {
    const int error = GENERATE(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    if (error != ECONNRESET) expected = Outcome::unreachable;
    calls.receive_error = error;
    single.host.server.peers.front()->write("x");
  }
  SECTION("write fails") {
    const int error = GENERATE(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, EPIPE);
    if (error != ECONNRESET && error != EPIPE) expected = Outcome::unreachable;
    calls.send_error = error;
    single.connection->exec({2, 0}, call_of("000000000000000b"), Millis(5000));
    single.connection->probe("p1");
  }
  SECTION("the host closes") { single.host.server.peers.front()->end_later(); }
  SECTION("the host sends a malformed answer") {
    expected = Outcome::unreachable;
    single.host.server.peers.front()->write("no answer\r\n");
  }
  REQUIRE(single.turn_until([&] { return single.closed; }));
  CHECK(single.attempts.at({1, 0}) == expected);
  CHECK(single.loads == std::vector<Outcome>{expected});
  if (single.attempts.size() == 2) {
    CHECK(single.attempts.at({2, 0}) == Outcome::connect_failed);  // it was not sent
    CHECK(single.probes == std::vector<Outcome>{Outcome::connect_failed});
  }
}

TEST_CASE("a host that is unresponsive on a connection is not reported as dead") {
  SingleConnection single;
  single.host.ignores_health_checks = true;
  single.connect();
  single.connection->exec({1, 0}, call_of("000000000000000a"), Millis(1000));
  REQUIRE(single.turn_until([&] { return single.closed; }));
  CHECK(single.counters.value(core::Counter::hosts_silent_links) == 1);
  CHECK(single.attempts.at({1, 0}) == Outcome::unreachable);
}

// Guards against a restart that goes unnoticed because the clock of the host was stepped.
TEST_CASE("a later or an earlier start time is a restart: earlier connections accept nothing new") {
  World world(1);
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  world.host[0]->react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  const double first_start = 1e6;
  world.publish_hosts(pathstack::policy::WorkerState::ready, first_start);
  world.fleet.send_attempt({1, 0}, "h0", call_of("000000000000000a"), Millis(5000));
  const double second_start = first_start + GENERATE(-3600e3, -1.0, 1.0, 3600e3);
  world.publish_hosts(pathstack::policy::WorkerState::ready, second_start);
  world.fleet.send_attempt({2, 0}, "h0", call_of("000000000000000b"), Millis(5000));
  CHECK(calls.connects == 2);
  world.publish_hosts(pathstack::policy::WorkerState::ready, second_start);
  world.fleet.send_attempt({3, 0}, "h0", call_of("000000000000000c"), Millis(5000));
  CHECK(calls.connects == 2);
  world.publish_hosts(pathstack::policy::WorkerState::ready, 0);
  world.publish_hosts(pathstack::policy::WorkerState::ready, second_start);
  world.fleet.send_attempt({4, 0}, "h0", call_of("000000000000000d"), Millis(5000));
  CHECK(calls.connects == 2);  // neither the same start time nor an unknown one is a restart
}

// Guards against a call that was assigned in time but sent when its connection was established, up to 250 ms
// later (incident of 2026-12-02).
TEST_CASE("calls and load orders that were queued too long for their connection are not written") {
  SingleConnection single;
  single.host.react = [](const std::string&) { return Reaction(); };
  single.may_write_after_waiting = false;
  single.connect();
  single.connection->exec({1, 0}, call_of("000000000000000a"), Millis(5000));
  single.connection->order_load("t1", 0xa1, 1);
  single.connection->probe("p1");
  REQUIRE(single.turn_until([&] { return single.probes.size() + single.loads.size() == 2; }));
  CHECK(single.attempts.at({1, 0}) == Outcome::not_sent);
  CHECK(single.loads == std::vector<Outcome>{Outcome::timeout});
  CHECK(single.probes == std::vector<Outcome>{Outcome::ok});  // a probe is always allowed
  CHECK(single.host.execs == 0);
  CHECK(single.host.orders == 0);
  single.connection->exec({2, 0}, call_of("000000000000000b"), Millis(5000));
  REQUIRE(single.turn_until([&] { return single.attempts.size() == 2; }));
  CHECK(single.attempts.at({2, 0}) == Outcome::ok);
}

TEST_CASE("while the list is stale, the wait for a connection is limited to a share of the drain grace") {
  hosts::Limits limits = World::limits();
  limits.drain_grace = Millis(250);
  World world(1, settings(), limits);
  const Millis now = world.loop.now();
  hosts::ConnectionPool& pool = world.fleet;
  hosts::ConnectionObserver& observer = pool.observer();
  CHECK(observer.may_still_write(now - Millis(10000)));
  pool.list_lease(now - Millis(1));
  CHECK_FALSE(observer.may_still_write(now - Millis(60)));
  CHECK(observer.may_still_write(world.loop.now()));
  CHECK(world.counters.value(core::Counter::guard_waited_too_long) == 1);
}

TEST_CASE("an attempt that expired before its connection was established is not sent") {
  SingleConnection single;
  single.host.react = [](const std::string&) { return Reaction(); };
  single.connect();
  const Millis timeout{5};
  single.connection->exec({1, 0}, call_of("000000000000000a"), timeout);
  single.connection->exec({2, 0}, call_of("000000000000000b"), Millis(5000));
  const Millis until = single.loop.now() + timeout;
  while (single.loop.now() < until) {}  // the connection is not established before the next turn
  REQUIRE(single.turn_until([&] { return !single.attempts.empty(); }));
  CHECK(single.attempts.at({2, 0}) == Outcome::ok);
  CHECK(single.host.execs == 1);
  CHECK_FALSE(single.connection->cancel({1, 0}));
}

// Guards against an attempt that stays unsent because its host does not read, and is sent later with the
// time-out of the moment at which it was written.
TEST_CASE("an attempt that its host does not read is never sent with more time than its client has left") {
  SingleConnection single;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  single.connect();
  REQUIRE(single.turn_until([&] { return single.connection->open(); }));
  calls.send_error = EAGAIN;
  single.connection->exec({1, 0}, call_of("000000000000000a"), Millis(1000));
  SECTION("the attempt stays unsent") {
    const Millis until = single.loop.now() + Millis(300);
    REQUIRE(single.turn_until([&] {
      if (single.loop.now() > until) calls.send_error = 0;  // 300 ms of its time have passed by then
      return single.closed || single.host.execs > 0;
    }));
    CHECK(single.attempts.at({1, 0}) == Outcome::connect_failed);
    CHECK(single.counters.value(core::Counter::hosts_stalled_links) == 1);
  }
  SECTION("the attempt is cancelled") {
    single.loop.turn(single.loop.now(), [] {});
    CHECK_FALSE(single.connection->cancel({1, 0}));
    calls.send_error = 0;
    REQUIRE(single.turn_until([&] { return single.closed; }));
  }
  REQUIRE(single.turn_until([&] { return single.host.server.peers.empty(); }));
  CHECK(single.host.execs == 0);
}

TEST_CASE("a stall of the invoker between writing an attempt and sending it does not end the connection") {
  SingleConnection single;
  single.connect();
  REQUIRE(single.turn_until([&] { return single.connection->open(); }));
  single.connection->exec({1, 0}, call_of("000000000000000a"), Millis(1000));
  const Millis until = single.loop.now() + Millis(100);
  while (single.loop.now() < until) {}  // nothing is sent before the end of the next turn
  REQUIRE(single.turn_until([&] { return single.closed || single.host.execs == 1; }));
  CHECK_FALSE(single.closed);
  CHECK(single.host.execs == 1);
}

// Guards against a host that becomes suspect because a retry found no free connection to it.
TEST_CASE("a retry for which no further connection may be opened does not cause a probe of its host") {
  hosts::Limits limits = World::limits();
  // The only connection does not accept the same ref again within one second.
  limits.max_connections_per_host = limits.max_calls_per_host = 1;
  World world(1, settings(), limits);
  RecordingFront front;
  world.host[0]->react = [](const std::string&) { return Reaction{Kind::reply, "full"}; };
  take_call(world, front, "000000000000000a", Millis(900));
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, kMaxTurns));
  CHECK(front.statuses == std::vector<core::CallStatus>{core::CallStatus::refused});
  CHECK(world.host[0]->execs == 1);
  CHECK(world.counters.value(core::Counter::hosts_no_link) >= 1);
  CHECK(world.counters.value(core::Counter::hosts_no_link) <= 30);
  CHECK(world.counters.value(core::Counter::hosts_probes) == 0);
}

// Guards against using a worker as warm after it was replaced while the membership log was unreachable
// (incident of 2026-12-02). The only sign of the replacement is that the old process closed its connections.
TEST_CASE("a host that closes its last connection while the list is stale counts as a new process") {
  core::Settings loading_by_order = settings();
  loading_by_order.rejects_on_miss = false;
  World world(1, loading_by_order);
  RecordingFront front;
  const auto serve = [&](const char* ref) {
    const std::size_t before = front.statuses.size();
    take_call(world, front, ref, Millis(1400));
    REQUIRE(world.turn_until([&] { return front.statuses.size() > before; }));
    CHECK(front.statuses.back() == core::CallStatus::served);
  };
  const bool stale = GENERATE(true, false);
  if (stale) {
    world.fleet.list_lease(world.loop.now() - Millis(10000));
    world.dispatcher.update_list_lease(world.loop.now() - Millis(10000));
  }
  serve("000000000000000a");
  const int orders = world.host[0]->orders;
  serve("000000000000000b");
  CHECK(world.host[0]->orders == orders);
  for (const auto& peer : world.host[0]->server.peers) peer->end_later();
  REQUIRE(world.turn_until([&] { return world.counters.value(core::Counter::hosts_links_ended) > 0; }));
  serve("000000000000000c");
  CHECK(world.host[0]->orders == orders + (stale ? 1 : 0));  // the instances ended with the process
}

}  // namespace
}  // namespace pathstack::test

// Tests of connections to hosts, over loopback; most send calls through the client protocol.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cerrno>

#include "support/platform.h"

namespace pathstack::test {
namespace {

using Kind = Reaction::Kind;

TEST_CASE("a malformed or incomplete answer ends its connection once; the host gets further calls") {
  FrontFixture p(1);
  // missing_length: an answer that was cut off before its length was served as an empty body.
  const auto kind = GENERATE(Kind::malformed, Kind::stall, Kind::silence, Kind::missing_length);
  int execs = 0;
  p.world.host[0]->react = [&](const std::string&) {
    return execs++ == 1 ? Reaction{kind, "data"} : Reaction();
  };
  p.world.host[0]->ignores_health_checks = true;
  Client c(p.world, p.front.address());
  c.call("1", "bin-check", "x");
  REQUIRE(c.answer("1") != nullptr);
  const bool record = GENERATE(true, false);
  c.call("2", record ? "bin-record" : "bin-check", "y", 1500);
  REQUIRE(c.answer("2") != nullptr);
  CHECK(c.answer("2")->at(1) == (record ? "FAILED" : "OK"));
  CHECK(p.world.counters.value(kind == Kind::stall     ? core::Counter::hosts_cut_answers
                               : kind == Kind::silence ? core::Counter::hosts_silent_links
                                                       : core::Counter::hosts_malformed) == 1);
  for (int i = 3; i <= 9; ++i) {
    c.call(std::to_string(i), "bin-record", std::to_string(i));
    REQUIRE(c.answer(std::to_string(i)) != nullptr);
    CHECK(c.answer(std::to_string(i))->at(1) == "OK");
  }
  CHECK(p.world.counters.value(core::Counter::hosts_links_opened) == 2);
}

// Guards against too many health checks, each of them a probe: hosts that were loading an instance got 1.2 of
// them per request (inc142).
TEST_CASE("a connection with one long call gets few health checks; one to an unreachable host is ended") {
  FrontFixture p(1);
  auto& host = *p.world.host[0];
  host.react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Client c(p.world, p.front.address());
  host.ignores_health_checks = GENERATE(false, true);
  c.call("1", "bin-record", "x", 1500);
  REQUIRE(c.answer("1") != nullptr);
  CHECK(c.answer("1")->at(1) == "FAILED");
  const auto checks = p.world.counters.value(core::Counter::hosts_health_checks);
  CHECK(checks >= 1);
  CHECK(checks <= 2);
  CHECK(p.world.counters.value(core::Counter::hosts_silent_links) == (host.ignores_health_checks ? 1 : 0));
}

// Guards against a backoff that is never reset: each health check that was answered during a load doubled the
// time to the next one for the rest of the connection.
TEST_CASE("health checks answered during a load do not delay the first health check of a later call") {
  hosts::Limits limits = World::limits();
  limits.order_timeout = Millis(1700);
  World world(1, settings(), limits);
  world.host[0]->ignores_load_orders = true;
  world.host[0]->react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  world.fleet.order_load("h0", 0xa1, 1);
  const Millis began = world.loop.now();
  REQUIRE(
      world.turn_until([&] { return world.loop.now() - began > limits.order_timeout + Millis(50); }, 20000));
  CHECK(world.counters.value(core::Counter::hosts_health_checks) >= 2);
  world.host[0]->ignores_health_checks = true;
  const core::Call call = call_of("000000000000000a");
  world.fleet.send_attempt({1, 0}, "h0", call, Millis(1000));
  const Millis sent = world.loop.now();
  REQUIRE(
      world.turn_until([&] { return world.counters.value(core::Counter::hosts_silent_links) == 1; }, 20000));
  CHECK((world.loop.now() - sent).count() < 1500);
}

// Guards against health checks in deployments whose settings forbid probes.
TEST_CASE("no health check is sent where probes are not allowed") {
  hosts::Limits limits = World::limits();
  limits.allow_probes = false;
  World world(1, settings(), limits);
  world.host[0]->react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  const core::Call call = call_of("000000000000000a");
  world.fleet.send_attempt({1, 0}, "h0", call, Millis(500));
  const Millis began = world.loop.now();
  REQUIRE(world.turn_until([&] { return world.loop.now() - began > Millis(700); }, 20000));
  CHECK(world.host[0]->execs == 1);
  CHECK(world.counters.value(core::Counter::hosts_health_checks) == 0);
}

TEST_CASE("a duplicate or unknown answer does not affect calls; its connection accepts no new attempt") {
  FrontFixture p(1);
  const auto kind = GENERATE(Kind::duplicate, Kind::unknown_ref);
  const std::string word = GENERATE("data", "full");
  int execs = 0;
  p.world.host[0]->react = [&](const std::string&) {
    return execs++ == 0 ? Reaction{kind, word} : Reaction();
  };
  Client c(p.world, p.front.address());
  c.call("1", "bin-record", "x");
  REQUIRE(c.answer("1") != nullptr);
  CHECK(*c.answer("1") == resp::Words{"1", "OK", "", "x"});
  c.call("2", "bin-record", "y");
  REQUIRE(c.answer("2") != nullptr);
  CHECK(*c.answer("2") == resp::Words{"2", "OK", "", "y"});
  CHECK(execs == (word == "full" ? 3 : 2));
  CHECK(p.world.counters.value(core::Counter::hosts_surplus_answers) == 1);
  CHECK(p.world.counters.value(core::Counter::hosts_links_opened) == 2);
}

TEST_CASE("a refused connect proves that nothing ran: a bin-record is sent to another host") {
  FrontFixture p(2);
  p.world.host[0]->server.stop();
  Client c(p.world, p.front.address());
  for (int i = 1; i <= 6; ++i) c.call(std::to_string(i), "bin-record", std::to_string(i));
  for (int i = 1; i <= 6; ++i) {
    REQUIRE(c.answer(std::to_string(i)) != nullptr);
    CHECK(c.answer(std::to_string(i))->at(1) == "OK");
  }
  CHECK(p.world.counters.value(core::Counter::hosts_links_refused) >= 1);
}

TEST_CASE("a host that is reported as draining gets no new call") {
  FrontFixture p(1);
  Client c(p.world, p.front.address());
  c.call("1", "bin-check", "x");
  REQUIRE(c.answer("1") != nullptr);
  p.world.publish_hosts(pathstack::policy::WorkerState::draining);
  c.call("2", "bin-check", "y", 300);
  REQUIRE(c.answer("2") != nullptr);
  CHECK(c.answer("2")->at(1) == "BUSY");
  REQUIRE(c.answer("2")->size() == 3);
  CHECK_THAT(c.answer("2")->at(2), Catch::StartsWith("cooldown="));
  CHECK(p.world.host[0]->runs.count("y") == 0);
}

// Guards against a fixed limit on connections: with one call per connection, a host got four calls at most.
TEST_CASE("a host gets as many connections as its calls need, up to a limit") {
  hosts::Limits limits = World::limits();
  limits.max_attempts_per_connection = 1;
  limits.max_calls_per_host = 12;
  World world(1, settings(), limits);
  world.host[0]->react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  for (core::CallId id = 1; id <= 20; ++id) {
    const core::Call call = call_of(net::hex16(id));
    world.fleet.send_attempt({id, 0}, "h0", call, Millis(5000));
  }
  REQUIRE(world.turn_until([&] { return world.host[0]->execs >= 12; }, 200));
  CHECK(world.host[0]->execs == 12);
  CHECK(world.counters.value(core::Counter::hosts_no_link) == 8);
}

// Guards against idle connections that use up the limit and make all other hosts unreachable.
TEST_CASE("at the limit of connections, an idle one is closed for a host that has none") {
  hosts::Limits limits = World::limits();
  limits.max_connections = 2;
  World world(4, settings(), limits);
  core::CallId calls = 0;
  const auto run = [&](std::size_t host) {
    const core::Call call = call_of(net::hex16(++calls));
    world.fleet.send_attempt({calls, 0}, "h" + std::to_string(host), call, Millis(1000));
    const auto answers = world.counters.value(core::Counter::hosts_answers_data);
    return world.turn_until([&] { return world.counters.value(core::Counter::hosts_answers_data) > answers; },
                            30);
  };
  CHECK((run(0) && run(1) && run(2)));
  world.host[1]->react = world.host[2]->react = [](const std::string&) {
    return Reaction{Kind::silence, ""};
  };
  CHECK_FALSE((run(1) || run(2)));  // both connections are in use and must not be closed
  CHECK_FALSE(run(3));
  CHECK(world.counters.value(core::Counter::hosts_no_link) == 1);
  CHECK((world.host[1]->execs == 2 && world.host[2]->execs == 2 && world.host[3]->execs == 0));
}

// Guards against bytes that a host does not read and that are sent up to 1 s after the list reported its
// drain.
TEST_CASE("an unsent call to a draining host is not sent after the drain grace") {
  const net::Socket listener = net::listen_on("127.0.0.1:0").socket;
  World world(0);
  const auto tell = [&](pathstack::policy::WorkerState state) {
    core::MemberList list;
    list.members.emplace_back();
    list.members[0].entry.worker = "h0";
    list.members[0].entry.state = state;
    list.members[0].address = net::bound_address(listener);
    world.fleet.members(list);
  };
  const auto exec = [&](core::CallId id, std::size_t size) {
    core::Call call = call_of(net::hex16(id));
    call.body = std::string(size, 'x');
    world.fleet.send_attempt({id, 0}, "h0", call, Millis(5000));
  };
  tell(pathstack::policy::WorkerState::ready);
  exec(0xa, 32U << 20);  // more than the kernel buffers for a peer that does not read
  exec(0xb, 1);
  REQUIRE(world.turn_until([&] { return world.counters.value(core::Counter::hosts_links_up) == 1; }, 20000));
  const net::Socket peer = net::accept_from(listener).socket;
  REQUIRE(static_cast<bool>(peer));
  world.turn();
  tell(pathstack::policy::WorkerState::draining);
  const Millis notified = world.loop.now();
  REQUIRE(world.turn_until([&] { return world.loop.now() - notified > World::limits().drain_grace; }, 20000));
  std::string got;
  std::vector<char> bytes(1U << 20);
  const auto drained = [&] {
    ssize_t read = 0;
    while ((read = recv(peer.fd(), bytes.data(), bytes.size(), 0)) > 0)
      got.append(bytes.data(), static_cast<std::size_t>(read));
    return read == 0 || (errno != EAGAIN && errno != EWOULDBLOCK) || got.find(net::hex16(0xb)) != got.npos;
  };
  REQUIRE(world.turn_until(drained, 20000));
  CHECK(got.find("exec " + net::hex16(0xa)) == 0);
  CHECK(got.find(net::hex16(0xb)) == got.npos);
}

// Guards against an attempt that is written to an ending connection: its bytes were dropped, and it counted
// as having run.
TEST_CASE("a call that arrives in the turn in which an idle connection ends is sent on a new one") {
  struct RecordingFront final : core::Front {
    std::vector<core::CallStatus> statuses;
    void answer(core::CallId, core::Answer&& answer) override { statuses.push_back(answer.status); }
  } front;
  hosts::Limits limits = World::limits();
  limits.idle_timeout = Millis(50);
  World world(1, settings(), limits);
  const auto call = [&](const char* ref) {
    core::Call c;
    c.ref = ref;
    c.class_name = "bin-record";
    c.function_name = "0000000000000007";
    c.function = 7;
    c.concurrency = 4;
    c.arrived = world.loop.now();
    c.client_timeout = Millis(1000);
    world.dispatcher.take(world.dispatcher.next_id(), std::move(c), front);
  };
  call("000000000000000a");
  REQUIRE(world.turn_until([&] { return front.statuses.size() == 1; }, 20000));
  const Millis due = world.loop.now() + Millis(50);
  world.loop.at(due, [&] { call("000000000000000b"); });
  while (world.loop.now() < due) {}  // both timers fire in one turn, that of the connection first
  REQUIRE(world.turn_until([&] { return front.statuses.size() == 2; }, 20000));
  CHECK(front.statuses[1] == core::CallStatus::served);
  CHECK(world.counters.value(core::Counter::hosts_links_opened) == 2);
}

TEST_CASE("a host that restarted at the same address is reached over a new connection") {
  FrontFixture p(1);
  Client c(p.world, p.front.address());
  c.call("1", "bin-check", "x");
  REQUIRE(c.answer("1") != nullptr);
  const auto opened = p.world.counters.value(core::Counter::hosts_links_opened);
  p.world.publish_hosts(pathstack::policy::WorkerState::ready, p.world.loop.now().count() - 20000);
  c.call("2", "bin-check", "y");
  REQUIRE(c.answer("2") != nullptr);
  CHECK(c.answer("2")->at(1) == "OK");
  CHECK(p.world.counters.value(core::Counter::hosts_links_opened) == opened + 1);
}

TEST_CASE("a call to a host that never answers fails at its deadline, and its connection ends") {
  FrontFixture p(1);
  p.world.host[0]->react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Client c(p.world, p.front.address());
  c.call("1", "bin-record", "x", 600);
  REQUIRE(c.answer("1") != nullptr);
  CHECK(c.answer("1")->at(1) == "FAILED");
  CHECK(p.world.turn_until([&] { return p.world.counters.value(core::Counter::hosts_links_ended) == 1; },
                           20000));
}

}  // namespace
}  // namespace pathstack::test

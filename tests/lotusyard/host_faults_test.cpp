// Faults of this machine and of the network on connections to hosts: what they say of a host, and what not.
#include <catch2/catch.hpp>
#include <cerrno>

#include "net/fields.h"
#include "support/scripted_calls.h"
#include "support/world.h"

namespace lotusyard::test {
namespace {

constexpr int kMaxTurns = 20000;

core::Call call_of(const std::string& ref, Millis arrived = Millis(0), Millis allow = Millis(0)) {
  core::Call call;
  call.ref = ref;
  call.class_name = "bin-check";
  call.function_name = "00000000000000a1";
  call.function = 0xa1;
  call.memory_mb = 300;
  call.lanes = 4;
  call.arrived = arrived;
  call.allow = allow;
  call.body = ref;
  return call;
}

struct RecordingFront final : core::Front {
  std::vector<core::Verdict> verdicts;
  void answer(core::CallId, core::Answer&& answer) override { verdicts.push_back(answer.verdict); }
};

void take_call(World& world, RecordingFront& front, const std::string& ref, Millis allow) {
  core::Call call = call_of(ref, world.loop.now(), allow);
  REQUIRE(world.dispatcher.take(world.dispatcher.next_id(), std::move(call), front));
}

// Failure found in review: a connect that failed here made the module suspect or eject the host.
TEST_CASE("a call that a local fault kept back goes out a moment later and costs its host no probe") {
  const int error = GENERATE(EADDRNOTAVAIL, ENETUNREACH, ENFILE, EMFILE, ENOBUFS, ENOMEM, EAGAIN);
  const bool of_socket = GENERATE(false, true);
  World world(1);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  (of_socket ? calls.socket_error : calls.connect_error) = error;
  take_call(world, front, "000000000000000a", Millis(1400));
  CHECK(world.counters.value("hosts.connect_local_faults") == 1);
  CHECK(world.counters.value("hosts.connect_failed") == 0);
  calls.socket_error = calls.connect_error = 0;
  REQUIRE(world.turn_until([&] { return !front.verdicts.empty(); }, kMaxTurns));
  CHECK(front.verdicts == std::vector<core::Verdict>{core::Verdict::served});
  CHECK(world.host[0]->execs == 1);
  CHECK(world.counters.value("hosts.probes") == 0);
  CHECK(world.counters.value("hosts.links_opened") == 1);
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
  REQUIRE(world.turn_until([&] { return !front.verdicts.empty(); }, kMaxTurns));
  CHECK(front.verdicts == std::vector<core::Verdict>{core::Verdict::refused});
  // Waits of 4, 8, 16 and 32 ms, then of 64: at most twelve within 500 ms, and six that grow short at the
  // end.
  CHECK(calls.connects >= 2);
  CHECK(calls.connects <= 18);
  calls.connect_error = 0;
  take_call(world, front, "000000000000000b", Millis(1400));
  REQUIRE(world.turn_until([&] { return front.verdicts.size() == 2; }, kMaxTurns));
  CHECK(front.verdicts[1] == core::Verdict::served);
  CHECK(world.counters.value("hosts.probes") == 0);
}

TEST_CASE("a load order or a probe that a local fault kept back is no reason to probe its host") {
  World world(1);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  take_call(world, front, "000000000000000a", Millis(1400));  // the module knows the function from here on
  REQUIRE(world.turn_until([&] { return !front.verdicts.empty(); }, kMaxTurns));
  world.host[0]->server.peers.front()->end_later();
  REQUIRE(world.turn_until([&] { return world.counters.value("hosts.links_ended") == 1; }, kMaxTurns));
  calls.connect_error = ENETUNREACH;
  const int connects_before = calls.connects;
  world.fleet.ensure("h0", 0xa1, 1);
  world.fleet.probe("h0");
  CHECK(calls.connects == connects_before + 2);
  const Millis until = world.loop.now() + Millis(100);
  REQUIRE(world.turn_until([&] { return world.loop.now() >= until; }, kMaxTurns));
  CHECK(calls.connects == connects_before + 2);
}

TEST_CASE("a connect that a signal interrupts goes on") {
  World world(1);
  RecordingFront front;
  ScriptedCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.interrupt_connects = true;
  take_call(world, front, "000000000000000a", Millis(1400));
  REQUIRE(world.turn_until([&] { return !front.verdicts.empty(); }, kMaxTurns));
  CHECK(front.verdicts == std::vector<core::Verdict>{core::Verdict::served});
  CHECK(calls.connects == 1);
}

TEST_CASE("a connect tells a fault of this machine from a refusal and from an address that can't be read") {
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

}  // namespace
}  // namespace lotusyard::test

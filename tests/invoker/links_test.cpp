// Tests of the choice of a connection for an attempt, of liveness checks, and of the load budget.
#include <catch2/catch.hpp>

#include "core/load_budget.h"
#include "hosts/connection.h"
#include "hosts/liveness.h"
#include "hosts/ref_history.h"
#include "net/fields.h"
#include "support/call.h"
#include "support/world.h"

namespace pathstack::test {
namespace {

using Kind = Reaction::Kind;
using LateAnswer = hosts::RefHistory::LateAnswer;
using Status = hosts::Liveness::Status;

struct RecordingFront final : core::Front {
  std::vector<core::CallStatus> statuses;
  void answer(core::CallId, core::Answer&& answer) override { statuses.push_back(answer.status); }
};

TEST_CASE("a ref is reused only when no answer to its ended attempt can arrive") {
  hosts::RefHistory history(Millis(100));
  CHECK(history.reusable("a", Millis(0)));
  SECTION("the ref of an answered attempt: after the duplicate window") {
    history.answered("a", Millis(10));
    CHECK_FALSE(history.reusable("a", Millis(110)));
    CHECK(history.reusable("a", Millis(111)));
    CHECK(history.record_late_answer("a", Millis(60)) == LateAnswer::duplicate);
  }
  SECTION("the ref of a cancelled attempt: also after an answer to a request written after the cancel") {
    history.cancelled("a", Millis(10), 500);
    history.confirm_read(499);
    CHECK_FALSE(history.reusable("a", Millis(5000)));
    history.confirm_read(500);
    CHECK_FALSE(history.reusable("a", Millis(110)));
    CHECK(history.reusable("a", Millis(111)));
  }
  SECTION("a late answer to a cancelled attempt starts the duplicate window") {
    history.cancelled("a", Millis(10), 500);
    CHECK(history.record_late_answer("a", Millis(300)) == LateAnswer::first);
    CHECK(history.record_late_answer("a", Millis(310)) == LateAnswer::duplicate);
    CHECK_FALSE(history.reusable("a", Millis(400)));
    CHECK(history.reusable("a", Millis(401)));
    CHECK(history.record_late_answer("b", Millis(401)) == LateAnswer::unknown);
  }
  // Guards against a flood of served calls, whose refs held more memory than the calls.
  SECTION("the ref of an answered attempt is forgotten after the duplicate window") {
    history.cancelled("c", Millis(5), 500);
    history.answered("a", Millis(10));
    history.answered("b", Millis(110));
    CHECK(history.record_late_answer("a", Millis(110)) == LateAnswer::duplicate);
    history.answered("b", Millis(111));
    CHECK(history.record_late_answer("a", Millis(111)) == LateAnswer::unknown);
    CHECK(history.record_late_answer("c", Millis(111)) == LateAnswer::first);
  }
  SECTION("a ref expires by its latest use, not by an earlier one") {
    history.cancelled("a", Millis(10), 500);
    history.reuse("a");
    history.cancelled("a", Millis(9000), 900);
    history.answered("b", Millis(10100));
    CHECK_FALSE(history.reusable("a", Millis(10100)));
    history.answered("c", Millis(19100));
    CHECK(history.reusable("a", Millis(19100)));
  }
}

TEST_CASE("a silent connection gets health checks with backoff, and ends if one is not answered") {
  hosts::Liveness liveness;
  liveness.connected(Millis(1000));
  liveness.sent(Millis(1000));
  CHECK(liveness.evaluate(Millis(1200), Millis(1000), 1) == Status::ok);
  CHECK(liveness.evaluate(Millis(1201), Millis(1000), 1) == Status::check_due);
  CHECK(liveness.evaluate(Millis(1400), Millis(4000), 1) == Status::ok);
  liveness.checked(Millis(1201));
  CHECK(liveness.evaluate(Millis(1451), Millis(1000), 1) == Status::ok);
  CHECK(liveness.evaluate(Millis(1452), Millis(1000), 1) == Status::unresponsive);
  liveness.received(Millis(1300), false, true);
  CHECK(liveness.evaluate(Millis(1700), Millis(1000), 1) == Status::ok);
  CHECK(liveness.evaluate(Millis(1701), Millis(1000), 1) == Status::check_due);
  liveness.reset_backoff();
  CHECK(liveness.evaluate(Millis(1501), Millis(1000), 1) == Status::check_due);
  liveness.received(Millis(1600), true, false);
  CHECK(liveness.evaluate(Millis(1801), Millis(1000), 1) == Status::answer_incomplete);
}

TEST_CASE("the load budget counts orders at the time at which they are written") {
  core::LoadBudget budget(Millis(1000), 1, 0.5);
  budget.note_call(Millis(0));
  budget.note_call(Millis(10));
  CHECK(budget.take(Millis(20)));
  CHECK(budget.take(Millis(30)));
  CHECK_FALSE(budget.take(Millis(40)));
  CHECK_FALSE(budget.take(Millis(1020)));
  CHECK(budget.take(Millis(1031)));
  CHECK(core::LoadBudget(Millis(0), 0, 0).take(Millis(0)));
}

// Guards against retries at the same host that never reuse the connection of the previous attempt.
TEST_CASE("a retry at a host that was full uses the same connection") {
  hosts::Limits limits = World::limits();
  limits.duplicate_window = Millis(0);
  World world(1, settings(), limits);
  int execs = 0;
  world.host[0]->react = [&](const std::string&) {
    return ++execs < 3 ? Reaction{Kind::reply, "full"} : Reaction();
  };
  RecordingFront front;
  core::Call call = call_of("000000000000000a", world.loop.now(), Millis(1400));
  REQUIRE(world.dispatcher.take(world.dispatcher.next_id(), std::move(call), front));
  REQUIRE(world.turn_until([&] { return !front.statuses.empty(); }, 20000));
  CHECK(front.statuses[0] == core::CallStatus::served);
  CHECK(execs == 3);
  CHECK(world.counters.value(core::Counter::hosts_links_opened) == 1);
}

TEST_CASE("a retry after a cancelled attempt uses its connection once the host has read the cancel") {
  hosts::Limits limits = World::limits();
  limits.duplicate_window = Millis(0);
  World world(1, settings(), limits);
  world.host[0]->react = [](const std::string& body) {
    return body == "000000000000000a" ? Reaction{Kind::silence, ""} : Reaction();
  };
  world.fleet.send_attempt({1, 0}, "h0", call_of("000000000000000a"), Millis(5000));
  REQUIRE(world.turn_until([&] { return world.host[0]->execs == 1; }, 20000));
  CHECK(world.fleet.cancel({1, 0}));
  const bool cancel_was_read = GENERATE(true, false);
  if (cancel_was_read) {
    world.fleet.send_attempt({2, 0}, "h0", call_of("000000000000000b"), Millis(5000));
    REQUIRE(world.turn_until([&] { return world.counters.value(core::Counter::hosts_answers_data) == 1; },
                             20000));
  }
  world.fleet.send_attempt({1, 1}, "h0", call_of("000000000000000a"), Millis(5000));
  REQUIRE(world.turn_until([&] { return world.host[0]->execs == (cancel_was_read ? 3 : 2); }, 20000));
  CHECK(world.counters.value(core::Counter::hosts_links_opened) == (cancel_was_read ? 1 : 2));
}

// Guards against connections to the former process of a host that count against the limit for the new one.
TEST_CASE("connections to the former process of a host do not block calls to its new process") {
  hosts::Limits limits = World::limits();
  limits.max_connections_per_host = limits.max_calls_per_host = 1;
  World world(1, settings(), limits);
  world.host[0]->react = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  world.fleet.send_attempt({1, 0}, "h0", call_of("000000000000000a"), Millis(5000));
  REQUIRE(world.turn_until([&] { return world.host[0]->execs == 1; }, 20000));
  world.publish_hosts(pathstack::policy::WorkerState::ready, world.loop.now().count());
  world.fleet.send_attempt({2, 0}, "h0", call_of("000000000000000b"), Millis(5000));
  REQUIRE(world.turn_until([&] { return world.host[0]->execs == 2; }, 2000));
  CHECK(world.counters.value(core::Counter::hosts_no_link) == 0);
  world.fleet.send_attempt({3, 0}, "h0", call_of("000000000000000b"), Millis(5000));
  CHECK(world.counters.value(core::Counter::hosts_no_link) ==
        1);  // the limit is one connection to the new process
}

TEST_CASE("a new host at the address of one that is gone is reached over a new connection") {
  World world(1);
  world.host[0]->react = [](const std::string& body) {
    return body == "000000000000000a" ? Reaction{Kind::silence, ""} : Reaction();
  };
  world.fleet.send_attempt({1, 0}, "h0", call_of("000000000000000a"), Millis(5000));
  REQUIRE(world.turn_until([&] { return world.host[0]->execs == 1; }, 20000));
  const auto update_member = [&](const std::string& id, pathstack::policy::WorkerState state) {
    core::MemberList change;
    change.members.emplace_back();
    change.members[0].entry.worker = id;
    change.members[0].entry.state = state;
    change.members[0].address = world.host[0]->server.address();
    world.fleet.members(change);
  };
  update_member("h1", pathstack::policy::WorkerState::ready);
  world.fleet.send_attempt({2, 0}, "h1", call_of("000000000000000b"), Millis(5000));
  REQUIRE(
      world.turn_until([&] { return world.counters.value(core::Counter::hosts_answers_data) == 1; }, 20000));
  CHECK(world.counters.value(core::Counter::hosts_links_opened) == 2);
  world.fleet.send_attempt({3, 0}, "h0", call_of("000000000000000c"), Millis(5000));
  REQUIRE(
      world.turn_until([&] { return world.counters.value(core::Counter::hosts_answers_data) == 2; }, 20000));
  CHECK(world.counters.value(core::Counter::hosts_links_opened) ==
        3);  // the connection to the former host accepts nothing new
  update_member("h0", pathstack::policy::WorkerState::gone);
  update_member("h1", pathstack::policy::WorkerState::gone);
  update_member("h2", pathstack::policy::WorkerState::ready);
  world.fleet.send_attempt({4, 0}, "h2", call_of("000000000000000d"), Millis(5000));
  REQUIRE(
      world.turn_until([&] { return world.counters.value(core::Counter::hosts_answers_data) == 3; }, 20000));
  CHECK(world.counters.value(core::Counter::hosts_links_opened) == 4);
}

// Guards against an order that is counted when it is decided and written after the calls that allow it have
// left the window.
TEST_CASE("a load order that was queued for its connection is not written beyond the load budget") {
  core::Settings s = settings();
  s.load_window = Millis(100);
  s.load_floor = 0;
  s.load_ratio = 1;
  World world(1, s);
  RecordingFront front;
  const auto take_call = [&](const std::string& ref) {
    core::Call call = call_of(ref, world.loop.now(), Millis(1400));
    REQUIRE(world.dispatcher.take(world.dispatcher.next_id(), std::move(call), front));
  };
  take_call("000000000000000a");
  world.fleet.order_load("h0", 0xa1, 1);
  const bool window_passes = GENERATE(true, false);
  const Millis until = world.loop.now() + s.load_window + Millis(10);
  while (window_passes && world.loop.now() < until) {
  }  // the connection is not established before the next turn
  REQUIRE(world.turn_until([&] { return front.statuses.size() == 1; }, 20000));
  CHECK(world.host[0]->orders == (window_passes ? 0 : 1));
  CHECK(world.counters.value(core::Counter::guard_load_stopped) == (window_passes ? 1 : 0));
}

}  // namespace
}  // namespace pathstack::test

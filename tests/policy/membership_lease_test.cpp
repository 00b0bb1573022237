#include "policy/membership_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "policy_harness.h"

// The incident of 2026-12-02 (docs/incidents/2026-12-02-membership-outage.md). What users saw: little, as the
// workers turned the calls away; but a rule of the platform was broken 896 times. Order of events: the
// membership log went out of reach; two busy workers began to drain 0.6 s later and stayed up; 10 s later the
// log came back. Cause: the module used the last list without limit, whatever its age. Evidence: no event was
// applied before the outage's end, `hosts.answers.full` stayed high all the time, and the workers recorded
// the calls and orders.
namespace pathstack::policy::test {
namespace {

Settings settings_with_probes() {
  Settings s = settings();
  s.probes = true;
  s.reports_warmth = true;
  return s;
}

/// An invoker with two ready workers, each with a warm instance of function 1; the list has just become
/// stale.
class StaleListTest {
 protected:
  explicit StaleListTest(const Settings& s = settings_with_probes()) : invoker(s) {
    invoker.list({entry("a"), entry("b")});
    invoker.request("r1");
    for (const char* const worker : {"a", "b"}) invoker.loaded(worker, 1, 1);
    invoker.advance(50);
    while (!invoker.sends.empty()) {
      const auto send = invoker.sends.back();
      invoker.sends.pop_back();
      invoker.answer(send, Outcome::ok);
    }
    invoker.advance(3000);
    invoker.handle(event::ListLease{invoker.now - Millis(2000)});
    invoker.sends.clear();
    invoker.loads.clear();
    invoker.probes.clear();
  }
  void probed(const std::string& worker, Outcome outcome, double elapsed = 1) {
    invoker.handle(event::ProbeEnded{worker, outcome, Millis(elapsed), std::nullopt});
  }

  Invoker invoker;
};

}  // namespace

TEST_CASE_METHOD(StaleListTest, "MembershipLease: a stale list sends nothing to a worker that was not asked",
                 "[membership-lease]") {
  invoker.request("r2");
  CHECK(invoker.sends.empty());
  CHECK(invoker.loads.empty());
  REQUIRE(invoker.probes.size() == 1);
  SECTION("one that is well gets the call at once") {
    probed(invoker.probes[0], Outcome::ok);
    REQUIRE(invoker.sends.size() == 1);
    CHECK(invoker.sends[0].worker == invoker.probes[0]);
  }
  SECTION("one that drains gets none; the other is asked at once") {
    probed(invoker.probes[0], Outcome::error);
    CHECK(invoker.sends.empty());
    REQUIRE(invoker.probes.size() == 2);
    CHECK(invoker.probes[1] != invoker.probes[0]);
    probed(invoker.probes[1], Outcome::ok);
    REQUIRE(invoker.sends.size() == 1);
    CHECK(invoker.sends[0].worker == invoker.probes[1]);
  }
  SECTION("one that says nothing is passed over") {
    invoker.advance(140);
    REQUIRE(invoker.probes.size() == 2);
    CHECK(invoker.probes[1] != invoker.probes[0]);
  }
  SECTION("a fault of this machine is no word of the worker") {
    probed(invoker.probes[0], Outcome::not_sent);
    probed(invoker.probes[1], Outcome::not_sent);
    invoker.advance(100);
    REQUIRE(invoker.probes.size() >= 3);
    probed(invoker.probes[2], Outcome::ok);
    CHECK(invoker.sends.size() == 1);
  }
  SECTION("a list that is current again needs no answer") {
    invoker.handle(event::ListLease{invoker.now + Millis(4000)});
    CHECK(invoker.sends.size() == 1);
  }
}

TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: a word lasts a part of the grace, from when the worker was asked",
                 "[membership-lease]") {
  invoker.request("r2");
  REQUIRE(invoker.probes.size() == 1);
  probed(invoker.probes[0], Outcome::ok, 500);  // of the grace of 1000 ms, 800 count
  REQUIRE(invoker.sends.size() == 1);
  invoker.answer(invoker.sends[0], Outcome::ok, 10);
  invoker.advance(50);
  invoker.request("r3");
  CHECK(invoker.sends.size() == 2);
  CHECK(invoker.probes.size() == 1);
}

TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: what a worker has accepted vouches for it from when it was sent",
                 "[membership-lease]") {
  invoker.list({entry("b", WorkerState::gone)}, ListKind::delta);
  invoker.request("r2");
  probed(invoker.probes.at(0), Outcome::ok);
  invoker.advance(550);
  invoker.answer(invoker.sends.at(0), Outcome::ok, 550);
  invoker.request("r3");
  CHECK(invoker.sends.size() == 2);
  CHECK(invoker.probes.size() == 1);
  invoker.advance(300);
  invoker.request("r4", 1, "safe", 4000, 4);
  CHECK(invoker.sends.size() == 2);
  CHECK(invoker.probes.size() == 2);
}

TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: a worker that turned a call away is asked before the next one",
                 "[membership-lease]") {
  invoker.request("r2");
  const std::string worker = invoker.probes.at(0);
  probed(worker, Outcome::ok);
  invoker.answer(invoker.sends.at(0), Outcome::full, 1);
  const auto sent_there = [&] {
    return std::count_if(invoker.sends.begin(), invoker.sends.end(),
                         [&](const action::Send& send) { return send.worker == worker; });
  };
  invoker.advance(300);
  CHECK(sent_there() == 1);
}

TEST_CASE_METHOD(StaleListTest, "MembershipLease: no load order goes to a worker that was not asked",
                 "[membership-lease]") {
  invoker.request("r2", 2);
  CHECK(invoker.loads.empty());
  REQUIRE(invoker.probes.size() == 1);
  probed(invoker.probes[0], Outcome::ok);
  REQUIRE(invoker.loads.size() == 1);
  CHECK(invoker.loads[0].worker == invoker.probes[0]);
}

// Found with the incident: a worker that drained and was started anew while the log was out of reach got the
// load of a warm one, though its start counts as told.
TEST_CASE_METHOD(StaleListTest, "MembershipLease: a process that was replaced unheard warms up, and is empty",
                 "[membership-lease]") {
  invoker.list({entry("b", WorkerState::gone)}, ListKind::delta);
  invoker.request("r2");
  REQUIRE(invoker.probes.size() == 1);
  SECTION("it was not well before") {
    probed("a", Outcome::error);
    invoker.advance(1100);
    invoker.request("r3");
    REQUIRE(invoker.probes.size() == 2);
    probed("a", Outcome::ok);
  }
  SECTION("it had closed all connections") {
    invoker.handle(event::ConnectionsLost{"a"});
    probed("a", Outcome::ok);
  }
  CHECK(invoker.sends.empty());  // the instance went with the process
  for (int i = 4; i < 40; ++i) {
    invoker.request("r" + std::to_string(i), static_cast<std::uint64_t>(i));
    probed("a", Outcome::ok);
  }
  const auto work_sent = invoker.sends.size() + invoker.loads.size();
  CHECK(work_sent <= 5);
}

TEST_CASE("MembershipLease: connections lost while the list is current change nothing",
          "[membership-lease]") {
  Invoker invoker(settings_with_probes());
  invoker.list({entry("a")});
  invoker.request("r1");
  invoker.loaded("a", 1, 1);
  invoker.advance(20);
  REQUIRE(invoker.sends.size() == 1);
  invoker.answer(invoker.sends[0], Outcome::ok, 20);
  invoker.handle(event::ConnectionsLost{"a"});
  invoker.request("r2");
  CHECK(invoker.sends.size() == 2);
}

TEST_CASE("MembershipLease: without probes only workers that accept work stay in use", "[membership-lease]") {
  Settings s = settings_with_probes();
  s.probes = false;
  Invoker invoker(s);
  invoker.list({entry("a")});
  invoker.request("r1");
  invoker.loaded("a", 1, 1);
  invoker.advance(20);
  REQUIRE(invoker.sends.size() == 1);
  invoker.handle(event::ListLease{invoker.now - Millis(2000)});
  invoker.advance(100);
  invoker.answer(invoker.sends[0], Outcome::ok, 100);
  invoker.request("r2");
  CHECK(invoker.sends.size() == 2);  // accepted 120 ms ago
  invoker.advance(1500);
  invoker.answer(invoker.sends[1], Outcome::ok, 1500);
  invoker.request("r3");
  CHECK(invoker.sends.size() == 2);
  CHECK(invoker.probes.empty());
  invoker.advance(1200);
  CHECK(invoker.refused == std::vector<std::string>{"r3"});  // at its objective, not at its deadline
}

TEST_CASE("MembershipLease: while the list is current nobody is asked", "[membership-lease]") {
  Invoker invoker(settings_with_probes());
  invoker.list({entry("a")});
  invoker.handle(event::ListLease{invoker.now + Millis(4000)});
  invoker.request("r1");
  invoker.loaded("a", 1, 1);
  invoker.advance(20);
  CHECK(invoker.sends.size() == 1);
  CHECK(invoker.probes.empty());
}

}  // namespace pathstack::policy::test

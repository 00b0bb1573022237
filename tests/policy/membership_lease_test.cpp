#include "policy/membership_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "policy_harness.h"

// Guards against sending work to draining workers while the membership log is unreachable, as in the incident
// of 2026-12-02 (docs/incidents/2026-12-02-membership-outage.md). Two busy workers began to drain 0.6 s after
// the start of a 10 s outage and stayed up. The module used the last list without an age limit and broke a
// rule of the platform 896 times. Users noticed little, as the workers rejected the calls. Evidence: no event
// was applied before the end of the outage, `hosts.answers.full` stayed high throughout, and the workers
// recorded the calls and load orders.
namespace pathstack::policy::test {
namespace {

Settings settings_with_probes() {
  Settings s = settings();
  s.probes = true;
  s.reports_warmth = true;
  return s;
}

/// An invoker with two ready workers, each with a warm instance of function 1. The lease on the list has just
/// expired.
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
  void end_probe(const std::string& worker, Outcome outcome, double elapsed = 1) {
    invoker.handle(event::ProbeEnded{worker, outcome, Millis(elapsed), std::nullopt});
  }

  Invoker invoker;
};

}  // namespace

TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: with a stale list, no call goes to a worker that was not probed",
                 "[membership-lease]") {
  invoker.request("r2");
  CHECK(invoker.sends.empty());
  CHECK(invoker.loads.empty());
  REQUIRE(invoker.probes.size() == 1);
  SECTION("a healthy worker gets the call at once") {
    end_probe(invoker.probes[0], Outcome::ok);
    REQUIRE(invoker.sends.size() == 1);
    CHECK(invoker.sends[0].worker == invoker.probes[0]);
  }
  SECTION("a draining worker gets no call; the other one is probed at once") {
    end_probe(invoker.probes[0], Outcome::error);
    CHECK(invoker.sends.empty());
    REQUIRE(invoker.probes.size() == 2);
    CHECK(invoker.probes[1] != invoker.probes[0]);
    end_probe(invoker.probes[1], Outcome::ok);
    REQUIRE(invoker.sends.size() == 1);
    CHECK(invoker.sends[0].worker == invoker.probes[1]);
  }
  SECTION("if a worker does not answer, the other one is probed") {
    invoker.advance(140);
    REQUIRE(invoker.probes.size() == 2);
    CHECK(invoker.probes[1] != invoker.probes[0]);
  }
  SECTION("a local fault does not count against the worker") {
    end_probe(invoker.probes[0], Outcome::not_sent);
    end_probe(invoker.probes[1], Outcome::not_sent);
    invoker.advance(100);
    REQUIRE(invoker.probes.size() >= 3);
    end_probe(invoker.probes[2], Outcome::ok);
    CHECK(invoker.sends.size() == 1);
  }
  SECTION("no answer is needed once the list is current again") {
    invoker.handle(event::ListLease{invoker.now + Millis(4000)});
    CHECK(invoker.sends.size() == 1);
  }
}

TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: a lease lasts a part of the drain grace, from the sending of the probe",
                 "[membership-lease]") {
  invoker.request("r2");
  REQUIRE(invoker.probes.size() == 1);
  end_probe(invoker.probes[0], Outcome::ok, 500);  // the lease is 800 ms of the drain grace of 1000 ms
  REQUIRE(invoker.sends.size() == 1);
  invoker.answer(invoker.sends[0], Outcome::ok, 10);
  invoker.advance(50);
  invoker.request("r3");
  CHECK(invoker.sends.size() == 2);
  CHECK(invoker.probes.size() == 1);
}

TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: accepted work renews the lease from the time when it was sent",
                 "[membership-lease]") {
  invoker.list({entry("b", WorkerState::gone)}, ListKind::delta);
  invoker.request("r2");
  end_probe(invoker.probes.at(0), Outcome::ok);
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
                 "MembershipLease: a worker that rejected a call is probed before the next one",
                 "[membership-lease]") {
  invoker.request("r2");
  const std::string worker = invoker.probes.at(0);
  end_probe(worker, Outcome::ok);
  invoker.answer(invoker.sends.at(0), Outcome::full, 1);
  const auto sent_there = [&] {
    return std::count_if(invoker.sends.begin(), invoker.sends.end(),
                         [&](const action::Send& send) { return send.worker == worker; });
  };
  invoker.advance(300);
  CHECK(sent_there() == 1);
}

TEST_CASE_METHOD(StaleListTest, "MembershipLease: no load order goes to a worker that was not probed",
                 "[membership-lease]") {
  invoker.request("r2", 2);
  CHECK(invoker.loads.empty());
  REQUIRE(invoker.probes.size() == 1);
  end_probe(invoker.probes[0], Outcome::ok);
  REQUIRE(invoker.loads.size() == 1);
  CHECK(invoker.loads[0].worker == invoker.probes[0]);
}

// Guards against a fault found with the incident: a worker that drained and restarted while the log was
// unreachable got the load of a warm worker, although its start counts as published.
TEST_CASE_METHOD(StaleListTest,
                 "MembershipLease: a process replaced during the outage warms up and has no instances",
                 "[membership-lease]") {
  invoker.list({entry("b", WorkerState::gone)}, ListKind::delta);
  invoker.request("r2");
  REQUIRE(invoker.probes.size() == 1);
  SECTION("it was unhealthy before") {
    end_probe("a", Outcome::error);
    invoker.advance(1100);
    invoker.request("r3");
    REQUIRE(invoker.probes.size() == 2);
    end_probe("a", Outcome::ok);
  }
  SECTION("it had closed all connections") {
    invoker.handle(event::ConnectionsLost{"a"});
    end_probe("a", Outcome::ok);
  }
  CHECK(invoker.sends.empty());  // the instance was lost with the process
  for (int i = 4; i < 40; ++i) {
    invoker.request("r" + std::to_string(i), static_cast<std::uint64_t>(i));
    end_probe("a", Outcome::ok);
  }
  const auto work_sent = invoker.sends.size() + invoker.loads.size();
  CHECK(work_sent <= 5);
}

TEST_CASE("MembershipLease: losing connections while the list is current has no effect",
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
  CHECK(invoker.refused == std::vector<std::string>{"r3"});  // at its latency objective, not at its deadline
}

TEST_CASE("MembershipLease: no worker is probed while the list is current", "[membership-lease]") {
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

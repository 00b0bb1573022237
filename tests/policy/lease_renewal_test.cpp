#include "policy/lease_renewal.h"

#include <catch2/catch.hpp>

#include "policy_harness.h"
#include "simulated_fleet.h"

// Guards against an invoker that serves nothing from 4 s into an outage of the membership log on, where the
// settings allow no probes (docs/incidents/2026-12-03-outage-without-probes.md).
namespace pathstack::policy::test {
namespace {

Settings settings_without_probes(int invokers) {
  Settings s = settings();
  s.probes = false;
  s.invokers = invokers;
  s.drain_grace = Millis(250);
  s.load_window = Millis(5000);
  s.load_floor = 3;
  s.load_ratio = 0.15;
  s.reports_warmth = false;
  return s;
}

}  // namespace

TEST_CASE("LeaseRenewal: nothing is ordered while the list is current, nor where probes are allowed",
          "[lease-renewal]") {
  Settings s = settings_without_probes(30);
  const bool probes = GENERATE(false, true);
  s.probes = probes;
  SimulatedFleet fleet(s, 10, 30);
  for (int i = 0; i < 10; ++i) {
    fleet.play(1000);
    fleet.renew_list();
  }
  if (probes) {
    fleet.begin_outage();
    fleet.play(3000);
  }
  CHECK(fleet.invoker().policy.statistics()["lease.renewed"] == 0);
}

TEST_CASE("LeaseRenewal: an outage of a minute is served, and nothing goes to workers past their drain",
          "[lease-renewal]") {
  const double rate = GENERATE(10.0, 30.0, 60.0);
  const int workers = GENERATE(10, 60);
  SimulatedFleet fleet(settings_without_probes(30), workers, rate);
  fleet.play(5000);
  fleet.begin_outage();
  fleet.play(1000);
  fleet.used.clear();
  const int calls = fleet.calls, served = fleet.served;
  fleet.play(60000);
  const double share = static_cast<double>(fleet.served - served) / (fleet.calls - calls);
  CHECK(share >= 0.95);
  CHECK(static_cast<double>(fleet.used.size()) <=
        rate * 0.25);  // no more workers than the calls keep confirmed
  CHECK(fleet.invoker().policy.statistics()["lease.renewed"] > 0);
  CHECK_FALSE(fleet.invoker().final_answer_violated);
}

TEST_CASE("LeaseRenewal: a kept worker that drains is found out by what it turns away", "[lease-renewal]") {
  SimulatedFleet fleet(settings_without_probes(3), 11, 60);
  fleet.play(5000);
  fleet.begin_outage();
  fleet.play(2000);
  REQUIRE(fleet.used.size() > 1);
  fleet.drain(*fleet.used.begin());
  const int calls = fleet.calls, served = fleet.served;
  fleet.play(10000);
  CHECK(fleet.late == 0);
  CHECK(static_cast<double>(fleet.served - served) / (fleet.calls - calls) >= 0.95);
}

TEST_CASE("LeaseRenewal: renewals keep to the load budget, and end with the outage", "[lease-renewal]") {
  const int workers = GENERATE(11, 60, 240);
  SimulatedFleet fleet(settings_without_probes(30), workers, 30);
  fleet.play(5000);
  fleet.begin_outage();
  const int before = fleet.orders, calls = fleet.calls;
  fleet.play(20000);
  // Whatever the number of workers: the floor once a window, and the ratio of the calls.
  CHECK(fleet.orders - before <= 3 * 4 + 0.15 * (fleet.calls - calls + 30 * 5));
  fleet.renew_list();
  fleet.play(500);
  const double renewed = fleet.invoker().policy.statistics()["lease.renewed"];
  fleet.play(3000);
  CHECK(fleet.invoker().policy.statistics()["lease.renewed"] == renewed);
}

TEST_CASE("LeaseRenewal: after a break a word lasts until later changes count as told", "[lease-renewal]") {
  Settings s = settings_without_probes(3);
  s.load_orders = false;
  SimulatedFleet fleet(s, 3, 20);
  fleet.play(5000);
  auto& invoker = fleet.invoker();
  invoker.handle(event::ListLease{invoker.now, invoker.now + Millis(1750)});
  fleet.play(500);
  const int served = fleet.served;
  invoker.advance(1000);  // no call comes
  fleet.play(500);        // 2000 ms after the break: within the grace
  CHECK(fleet.served > served);
}

// Where probes are allowed, these too grow with the work, not with the fleet.
TEST_CASE("MembershipLease: probes are bounded by the calls, whatever the number of workers",
          "[lease-renewal]") {
  const int workers = GENERATE(11, 60, 240);
  Settings s = settings_without_probes(30);
  s.probes = true;
  SimulatedFleet fleet(s, workers, 60);
  fleet.answers_probes = true;
  fleet.functions = 200;
  fleet.play(5000);
  fleet.begin_outage();
  fleet.play(1000);
  const int calls = fleet.calls, served = fleet.served, probes = fleet.probes;
  fleet.play(20000);
  CAPTURE(workers, (fleet.probes - probes) / 20.0);
  CHECK(fleet.probes - probes <= fleet.calls - calls);
  CHECK(fleet.probes > probes);
  CHECK(fleet.served - served >= 0.95 * (fleet.calls - calls));
}

}  // namespace pathstack::policy::test

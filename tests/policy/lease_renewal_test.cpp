#include "policy/lease_renewal.h"

#include <catch2/catch.hpp>

#include "policy_harness.h"
#include "simulated_fleet.h"

// Guards against a failure where an invoker serves nothing later than 4 s after the start of an outage of the
// membership log, because the settings allow no probes and the leases of all workers have expired
// (docs/incidents/2026-12-03-outage-without-probes.md).
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

TEST_CASE("LeaseRenewal: no renewals while the list is current or if probes are allowed", "[lease-renewal]") {
  Settings s = settings_without_probes(30);
  const bool probes = GENERATE(false, true);
  s.probes = probes;
  SimulatedFleet fleet(s, 10, 30);
  for (int i = 0; i < 10; ++i) {
    fleet.run_for(1000);
    fleet.renew_list();
  }
  if (probes) {
    fleet.begin_outage();
    fleet.run_for(3000);
  }
  CHECK(fleet.invoker().policy.statistics()["lease.renewed"] == 0);
}

TEST_CASE("LeaseRenewal: calls are served during an outage of a minute, by few workers", "[lease-renewal]") {
  const double rate = GENERATE(10.0, 30.0, 60.0);
  const int workers = GENERATE(10, 60);
  SimulatedFleet fleet(settings_without_probes(30), workers, rate);
  fleet.run_for(5000);
  fleet.begin_outage();
  fleet.run_for(1000);
  fleet.used.clear();
  const int calls = fleet.calls, served = fleet.served;
  fleet.run_for(60000);
  const double share = static_cast<double>(fleet.served - served) / (fleet.calls - calls);
  CHECK(share >= 0.95);
  CHECK(static_cast<double>(fleet.used.size()) <=
        rate * 0.25);  // only as many workers as the calls can keep confirmed
  CHECK(fleet.invoker().policy.statistics()["lease.renewed"] > 0);
  CHECK_FALSE(fleet.invoker().final_answer_violated);
}

TEST_CASE("LeaseRenewal: a draining kept worker is detected when it rejects work", "[lease-renewal]") {
  SimulatedFleet fleet(settings_without_probes(3), 11, 60);
  fleet.run_for(5000);
  fleet.begin_outage();
  fleet.run_for(2000);
  REQUIRE(fleet.used.size() > 1);
  fleet.drain(*fleet.used.begin());
  const int calls = fleet.calls, served = fleet.served;
  fleet.run_for(10000);
  CHECK(fleet.sends_past_grace == 0);
  CHECK(static_cast<double>(fleet.served - served) / (fleet.calls - calls) >= 0.95);
}

TEST_CASE("LeaseRenewal: renewals stay within the load budget and end with the outage", "[lease-renewal]") {
  const int workers = GENERATE(11, 60, 240);
  SimulatedFleet fleet(settings_without_probes(30), workers, 30);
  fleet.run_for(5000);
  fleet.begin_outage();
  const int before = fleet.orders, calls = fleet.calls;
  fleet.run_for(20000);
  // For any number of workers: the floor of each window plus the ratio of the calls.
  CHECK(fleet.orders - before <= 3 * 4 + 0.15 * (fleet.calls - calls + 30 * 5));
  fleet.renew_list();
  fleet.run_for(500);
  const double renewed = fleet.invoker().policy.statistics()["lease.renewed"];
  fleet.run_for(3000);
  CHECK(fleet.invoker().policy.statistics()["lease.renewed"] == renewed);
}

TEST_CASE("LeaseRenewal: with a later start of unreceived changes, leases last from that start",
          "[lease-renewal]") {
  Settings s = settings_without_probes(3);
  s.load_orders = false;
  SimulatedFleet fleet(s, 3, 20);
  fleet.run_for(5000);
  auto& invoker = fleet.invoker();
  invoker.handle(event::ListLease{invoker.now, invoker.now + Millis(1750)});
  fleet.run_for(500);
  const int served = fleet.served;
  invoker.advance(1000);  // without calls
  fleet.run_for(500);     // 2000 ms after the lease on the list ended: within the drain grace
  CHECK(fleet.served > served);
}

// Where probes are allowed, their number must grow with the calls, not with the number of workers.
TEST_CASE("MembershipLease: probes are limited by the number of calls, for any number of workers",
          "[lease-renewal]") {
  const int workers = GENERATE(11, 60, 240);
  Settings s = settings_without_probes(30);
  s.probes = true;
  SimulatedFleet fleet(s, workers, 60);
  fleet.answers_probes = true;
  fleet.functions = 200;
  fleet.run_for(5000);
  fleet.begin_outage();
  fleet.run_for(1000);
  const int calls = fleet.calls, served = fleet.served, probes = fleet.probes;
  fleet.run_for(20000);
  CAPTURE(workers, (fleet.probes - probes) / 20.0);
  CHECK(fleet.probes - probes <= fleet.calls - calls);
  CHECK(fleet.probes > probes);
  CHECK(fleet.served - served >= 0.95 * (fleet.calls - calls));
}

}  // namespace pathstack::policy::test

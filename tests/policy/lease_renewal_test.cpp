#include "policy/lease_renewal.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "policy_harness.h"

// Guards against an invoker that serves nothing from 4 s into an outage of the membership log on, where the
// settings allow no probes (docs/incidents/2026-12-03-outage-without-probes.md).
namespace pathstack::policy::test {
namespace {

constexpr double kStep = 2;      // ms
constexpr double kLongRun = 40;  // ms

Settings settings_without_probes(int invokers) {
  Settings s = settings();
  s.probes = false;
  s.routers = invokers;
  s.drain_grace = Millis(250);
  s.load_window = Millis(5000);
  s.load_floor = 3;
  s.load_ratio = 0.15;
  s.tells_warm = false;
  return s;
}

/// One invoker and its workers, which answer calls after their run and load orders after one step, and turn
/// both away while they drain. Checks that nothing is sent past the grace after a drain, heard or not.
class Fleet {
 public:
  Fleet(const Settings& s, int workers, double calls_per_second)
      : invoker_(s), grace_(s.drain_grace), calls_per_step_(calls_per_second * kStep / 1000) {
    std::vector<WorkerEntry> entries;
    for (int i = 0; i < workers; ++i) entries.push_back(entry("s" + std::to_string(i)));
    invoker_.list(entries);
    renew_list();
  }

  void renew_list() { invoker_.give(event::ListLease{invoker_.now + Millis(3750)}); }
  void begin_outage() { invoker_.give(event::ListLease{invoker_.now}); }
  void drain(const std::string& worker) { drains_[worker] = invoker_.now; }
  void play(double ms) {
    for (double end = invoker_.now.count() + ms; invoker_.now.count() < end;) step();
  }

  Invoker& invoker() { return invoker_; }
  int calls = 0, served = 0, orders = 0, sends = 0, late = 0;
  std::set<std::string> used;  // workers that calls were sent to

 private:
  struct Pending {
    Millis at{0};
    std::optional<action::Send> call;
    action::Load order;
    Millis sent_at{0};
  };
  Invoker invoker_;
  Millis grace_;
  double calls_per_step_;
  std::map<std::string, Millis> drains_;
  std::set<std::pair<std::string, std::string>> loaded_;
  std::vector<Pending> pending_;
  std::mt19937 random_{11};

  double fraction() { return static_cast<double>(random_() % 100000) / 100000; }
  bool drains(const std::string& worker) const { return drains_.count(worker) != 0; }
  void check_grace(const std::string& worker) {
    const auto drain = drains_.find(worker);
    if (drain != drains_.end() && invoker_.now > drain->second + grace_) ++late;
  }
  void step() {
    invoker_.pass(kStep);
    take_actions();
    answer();
    if (fraction() >= calls_per_step_) return;
    ++calls;
    invoker_.request("c" + std::to_string(calls), 1 + random_() % 6);
    take_actions();
  }
  void take_actions() {
    for (const action::Send& send : std::exchange(invoker_.sends, {})) {
      check_grace(send.worker);
      ++sends;
      used.insert(send.worker);
      const double run = 15 + (kLongRun - 15) * fraction();
      pending_.push_back({invoker_.now + Millis(drains(send.worker) ? kStep : run), send, {}, invoker_.now});
    }
    for (const action::Load& load : std::exchange(invoker_.loads, {})) {
      check_grace(load.worker);
      ++orders;
      pending_.push_back({invoker_.now + Millis(kStep), std::nullopt, load, invoker_.now});
    }
  }
  void answer() {
    const auto due = std::partition(pending_.begin(), pending_.end(),
                                    [&](const Pending& each) { return each.at > invoker_.now; });
    const std::vector<Pending> ended(due, pending_.end());
    pending_.erase(due, pending_.end());
    for (const Pending& each : ended) {
      const double elapsed = (invoker_.now - each.sent_at).count();
      if (each.call) {
        const bool away = drains(each.call->worker);
        served += away ? 0 : 1;
        invoker_.answer(*each.call, away ? Outcome::full : Outcome::ok, elapsed, Warmth::untold);
      } else {
        const bool away = drains(each.order.worker);
        invoker_.give(event::Loaded{each.order.worker, each.order.function,
                                    away ? Outcome::full : Outcome::ok, Millis(elapsed), away ? 0 : 1});
      }
      take_actions();
    }
  }
};

}  // namespace

TEST_CASE("LeaseRenewal: nothing is ordered while the list is current, nor where probes are allowed",
          "[lease-renewal]") {
  Settings s = settings_without_probes(30);
  const bool probes = GENERATE(false, true);
  s.probes = probes;
  Fleet fleet(s, 10, 30);
  for (int i = 0; i < 10; ++i) {
    fleet.play(1000);
    fleet.renew_list();
  }
  if (probes) {
    fleet.begin_outage();
    fleet.play(3000);
  }
  CHECK(fleet.invoker().policy.tally()["lease.renewed"] == 0);
}

TEST_CASE("LeaseRenewal: an outage of a minute is served, and nothing goes to workers past their drain",
          "[lease-renewal]") {
  const double rate = GENERATE(10.0, 30.0, 60.0);
  const int workers = GENERATE(10, 60);
  Fleet fleet(settings_without_probes(30), workers, rate);
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
  CHECK(fleet.invoker().policy.tally()["lease.renewed"] > 0);
  CHECK_FALSE(fleet.invoker().broken);
}

TEST_CASE("LeaseRenewal: a kept worker that drains is found out by what it turns away", "[lease-renewal]") {
  Fleet fleet(settings_without_probes(3), 11, 60);
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
  Fleet fleet(settings_without_probes(30), workers, 30);
  fleet.play(5000);
  fleet.begin_outage();
  const int before = fleet.orders, calls = fleet.calls;
  fleet.play(20000);
  // Whatever the number of workers: the floor once a window, and the ratio of the calls.
  CHECK(fleet.orders - before <= 3 * 4 + 0.15 * (fleet.calls - calls + 30 * 5));
  fleet.renew_list();
  fleet.play(500);
  const double renewed = fleet.invoker().policy.tally()["lease.renewed"];
  fleet.play(3000);
  CHECK(fleet.invoker().policy.tally()["lease.renewed"] == renewed);
}

TEST_CASE("LeaseRenewal: after a break a word lasts until later changes count as told", "[lease-renewal]") {
  Settings s = settings_without_probes(3);
  s.orders = false;
  Fleet fleet(s, 3, 20);
  fleet.play(5000);
  auto& invoker = fleet.invoker();
  invoker.give(event::ListLease{invoker.now, invoker.now + Millis(1750)});
  fleet.play(500);
  const int served = fleet.served;
  invoker.pass(1000);  // no call comes
  fleet.play(500);     // 2000 ms after the break: within the grace
  CHECK(fleet.served > served);
}

}  // namespace pathstack::policy::test

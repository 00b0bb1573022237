/// Simulated fleet for tests of the decision module, with workers that serve, drain or give useless answers.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy_harness.h"

namespace pathstack::policy::test {

inline constexpr double kStep = 2;                      // ms
inline constexpr double kShortRun = 15, kLongRun = 40;  // ms

/// One invoker and its workers. Workers answer calls after their run time and load orders after one step, and
/// reject both while they drain. Counts calls and load orders sent to a worker later than the drain grace
/// after the start of its drain.
class SimulatedFleet {
 public:
  SimulatedFleet(const Settings& s, int workers, double calls_per_second)
      : invoker_(s), grace_(s.drain_grace), calls_per_step_(calls_per_second * kStep / 1000) {
    std::vector<WorkerEntry> entries;
    for (int i = 0; i < workers; ++i) entries.push_back(entry("s" + std::to_string(i)));
    invoker_.list(entries);
  }

  void renew_list() { invoker_.handle(event::ListLease{invoker_.now + Millis(3750)}); }
  void begin_outage() { invoker_.handle(event::ListLease{invoker_.now}); }
  /// From now on the worker answers every call with `outcome` without running it.
  void answer_with(const std::string& worker, Outcome outcome) { outcomes_[worker] = outcome; }
  /// If any probes were sent, ends them with one healthy answer of `worker`.
  void answer_probes(const std::string& worker) {
    if (std::exchange(probes, 0) > 0) {
      invoker_.handle(event::ProbeEnded{worker, Outcome::ok, Millis(1), std::nullopt});
    }
  }
  void drain(const std::string& worker) { drains_[worker] = invoker_.now; }
  void run_for(double ms) {
    for (double end = invoker_.now.count() + ms; invoker_.now.count() < end;) step();
  }

  Invoker& invoker() { return invoker_; }
  int calls = 0, served = 0, orders = 0, sends = 0, sends_past_grace = 0, probes = 0;
  bool answers_probes = false;  // in the next step, according to the worker's state
  std::uint64_t functions = 6;  // number of functions that are called
  std::set<std::string> used;   // workers to which calls were sent
  std::map<std::pair<std::string, std::string>, int> attempts;  // by call and worker

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
  std::map<std::string, Outcome> outcomes_;
  std::vector<Pending> pending_;
  std::vector<std::pair<std::string, Millis>> probes_out_;
  std::mt19937 random_{11};

  double fraction() { return static_cast<double>(random_() % 100000) / 100000; }
  bool drains(const std::string& worker) const { return drains_.count(worker) != 0; }
  Outcome outcome_of(const std::string& worker) const {
    if (drains(worker)) return Outcome::full;
    const auto found = outcomes_.find(worker);
    return found == outcomes_.end() ? Outcome::ok : found->second;
  }
  void check_grace(const std::string& worker) {
    const auto drain = drains_.find(worker);
    if (drain != drains_.end() && invoker_.now > drain->second + grace_) ++sends_past_grace;
  }
  void step() {
    invoker_.advance(kStep);
    take_actions();
    answer();
    if (fraction() >= calls_per_step_) return;
    ++calls;
    invoker_.request("c" + std::to_string(calls), 1 + random_() % functions);
    take_actions();
  }
  void take_actions() {
    for (const action::Send& send : std::exchange(invoker_.sends, {})) {
      check_grace(send.worker);
      ++sends;
      ++attempts[{send.id, send.worker}];
      used.insert(send.worker);
      const double run = kShortRun + (kLongRun - kShortRun) * fraction();
      const bool at_once = drains(send.worker) || outcomes_.count(send.worker) != 0;
      pending_.push_back({invoker_.now + Millis(at_once ? kStep : run), send, {}, invoker_.now});
    }
    for (const std::string& worker : std::exchange(invoker_.probes, {})) {
      ++probes;
      if (answers_probes) probes_out_.push_back({worker, invoker_.now});
    }
    for (const action::Load& load : std::exchange(invoker_.loads, {})) {
      check_grace(load.worker);
      ++orders;
      pending_.push_back({invoker_.now + Millis(kStep), std::nullopt, load, invoker_.now});
    }
  }
  void answer() {
    for (const auto& [worker, sent_at] : std::exchange(probes_out_, {})) {
      const Outcome outcome = drains(worker) ? Outcome::error : Outcome::ok;
      invoker_.handle(event::ProbeEnded{worker, outcome, invoker_.now - sent_at, std::nullopt});
    }
    const auto due = std::partition(pending_.begin(), pending_.end(),
                                    [&](const Pending& each) { return each.at > invoker_.now; });
    const std::vector<Pending> ended(due, pending_.end());
    pending_.erase(due, pending_.end());
    for (const Pending& each : ended) {
      const double elapsed = (invoker_.now - each.sent_at).count();
      if (each.call) {
        const Outcome outcome = outcome_of(each.call->worker);
        served += outcome == Outcome::ok ? 1 : 0;
        invoker_.answer(*each.call, outcome, elapsed, Warmth::unknown);
      } else {
        const bool rejects = drains(each.order.worker);
        invoker_.handle(event::LoadEnded{each.order.worker, each.order.function,
                                         rejects ? Outcome::full : Outcome::ok, Millis(elapsed),
                                         rejects ? 0 : 1});
      }
      take_actions();
    }
  }
};

}  // namespace pathstack::policy::test

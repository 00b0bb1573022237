#include "policy/slow_start.h"

#include <algorithm>

namespace pathstack::policy {
namespace {

constexpr Millis kServedTimeConstant{4000};  // several windows of rule 4
/// Between probes for the utilisation of warm workers, sent while a budget holds requests back.
constexpr Millis kUtilisationProbeInterval{5000};
constexpr double kUtilisationGain = 0.3;  // large, as samples are few
constexpr double kNoOutlierLimit = 1e9;   // no limit on samples
constexpr double kMinUtilisation = 0.25;  // lower bound, as samples are few and noisy
/// Share of the allowed rate that is used. The rest allows for random variation and clock skew.
constexpr double kBudgetShare = 0.6;
constexpr double kWindowsPerSavedBudget = 5;  // a budget holds a fifth of a window at most, or one request

}  // namespace

SlowStart::SlowStart(const Settings& settings, const WorkerTable& workers, const OutlierDetector& outliers,
                     Random& random, ActionSink& actions)
    : settings_(settings), workers_(workers), outliers_(outliers), random_(random), actions_(actions) {}

void SlowStart::reset(WorkerIndex worker) {
  if (budgets_.size() <= worker) budgets_.resize(worker + 1);
  budgets_[worker] = Budget();
}

void SlowStart::worker_recovered(WorkerIndex worker, Millis now) {
  budgets_[worker].recovered_at = now;
  budgets_[worker].filled_at = kNever;
}

Millis SlowStart::warming_since(WorkerIndex worker) const {
  return std::max(workers_[worker].started_at, budgets_[worker].recovered_at);
}

bool SlowStart::is_warming_up(WorkerIndex worker, Millis now) const {
  if (outliers_.is_down(worker)) return true;
  const Millis since = warming_since(worker);
  return since.count() > 0 && now - since < settings_.slow_start_duration;
}

double SlowStart::capacity_share(WorkerIndex worker, Millis now) const {
  double age = 0;
  if (!outliers_.is_down(worker))
    age = std::max(0.0, (now - warming_since(worker)) / settings_.slow_start_duration);
  return settings_.slow_start_initial_capacity +
         (1 - settings_.slow_start_initial_capacity) * std::min(1.0, age);
}

double SlowStart::work_rate_of_warm_worker(Millis now) const {
  const auto is_warm = [&](const Worker& worker) {
    return worker.state == WorkerState::ready && !is_warming_up(worker.index, now);
  };
  const auto warm = std::count_if(workers_.all().begin(), workers_.all().end(), is_warm);
  const double served = served_ * decay(now, served_at_, kServedTimeConstant) / kServedTimeConstant.count();
  return warm > 0 && served > 0 ? served / static_cast<double>(warm) : 1.0 / settings_.invokers;
}

bool SlowStart::has_budget(WorkerIndex worker, double work, Millis now) {
  if (!is_warming_up(worker, now)) return true;
  Budget& budget = budgets_[worker];
  const double utilisation = utilisation_.known() ? std::max(utilisation_.value, kMinUtilisation) : 1;
  const double pace = kBudgetShare * settings_.cold_overload_multiple * capacity_share(worker, now) *
                      work_rate_of_warm_worker(now) / utilisation;
  if (budget.filled_at == kNever) {
    budget.tokens = work * random_.fraction();
  } else {
    budget.tokens += pace * (now - budget.filled_at).count();
  }
  budget.filled_at = now;
  const double max_tokens =
      std::max(work, pace * settings_.cold_overload_window.count() / kWindowsPerSavedBudget);
  budget.tokens = std::min(budget.tokens, max_tokens);
  if (budget.tokens < work) probe_utilisation(now);
  return budget.tokens >= work;
}

double SlowStart::charge(WorkerIndex worker, double work, Millis now) {
  if (!is_warming_up(worker, now)) return 0;
  budgets_[worker].tokens -= work;
  return work;
}

void SlowStart::record_served(double work, Millis now) {
  served_ = served_ * decay(now, served_at_, kServedTimeConstant) + work;
  served_at_ = now;
}

void SlowStart::record_utilisation(WorkerIndex worker, double utilisation, Millis now) {
  if (!is_warming_up(worker, now))
    utilisation_.add(std::max(utilisation, 0.0), kUtilisationGain, kNoOutlierLimit);
}

void SlowStart::probe_utilisation(Millis now) {
  if (!settings_.probes || settings_.reports != ReportMode::probe) return;
  if (now - utilisation_probe_at_ < kUtilisationProbeInterval) return;
  const Worker& worker = workers_.all()[random_.next() % workers_.all().size()];
  if (!outliers_.is_usable(worker.index, now) || is_warming_up(worker.index, now)) return;
  utilisation_probe_at_ = now;
  actions_.emit(action::Probe{worker.worker});
}

}  // namespace pathstack::policy

/// Slow start: the budget of work for a worker that is warming up.
#pragma once

#include <vector>

#include "policy/average.h"
#include "policy/common.h"
#include "policy/outlier_detector.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Limits the work that this invoker sends to a worker while it warms up.
///
/// Rule 4 of the platform allows a warming worker a multiple of its present share of the capacity of a warm
/// worker, summed over all invokers. The capacity of a warm worker is estimated as the work that the mean
/// warm worker serves for this invoker, divided by its CPU utilisation, which probes report. With many
/// invokers the budget is less than one request per window; it is saved up from a random initial value, so
/// that the invokers take turns.
///
/// Owned by Engine; called by RetryPolicy for each candidate. is_warming_up is O(1), has_budget is O(workers)
/// for a warming worker. Work is measured in milliseconds of run time.
class SlowStart {
 public:
  SlowStart(const Settings& settings, const WorkerTable& workers, const OutlierDetector& outliers,
            Random& random, ActionSink& actions);

  /// Clears the state at the index: a new worker has it, or its worker was pruned.
  void reset(WorkerIndex worker);
  /// A list reported a new process: its budget starts anew; its start time is in the worker table.
  void restarted(WorkerIndex worker) { budgets_[worker].filled_at = kNever; }
  /// The worker was down and answers again. Lists arrive late, so the warm-up is counted from `now`.
  void worker_recovered(WorkerIndex worker, Millis now);

  bool is_warming_up(WorkerIndex worker, Millis now) const;

  /// True if the worker is warm or its budget covers `work`. If not, a warm worker may be probed for its CPU
  /// utilisation.
  bool has_budget(WorkerIndex worker, double work, Millis now);
  /// Deducts the cost of an attempt from the budget and returns it; 0 for a warm worker.
  double charge(WorkerIndex worker, double work, Millis now);
  /// Gives back `cost`, the cost of an attempt that was not sent.
  void refund(WorkerIndex worker, double cost) { budgets_[worker].tokens += cost; }

  void record_served(double work, Millis now);
  /// Records the CPU utilisation of a worker; 1: all cores busy. Ignored for a warming worker, as the average
  /// is that of warm workers.
  void record_utilisation(WorkerIndex worker, double utilisation, Millis now);

 private:
  struct Budget {
    Millis recovered_at{kNever};
    Millis filled_at{kNever};  // kNever: the budget starts anew
    double tokens = 0;         // milliseconds of work
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  const OutlierDetector& outliers_;
  Random& random_;
  ActionSink& actions_;
  std::vector<Budget> budgets_;  // by WorkerIndex
  Average utilisation_;          // of warm workers
  Millis utilisation_probe_at_{kNever};
  double served_ = 0;  // decaying sum of own served work as of served_at_
  Millis served_at_{kNever};

  Millis warming_since(WorkerIndex worker) const;
  double capacity_share(WorkerIndex worker, Millis now) const;
  double work_rate_of_warm_worker(Millis now) const;
  void probe_utilisation(Millis now);
};

}  // namespace pathstack::policy

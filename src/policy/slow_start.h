// Budget of a worker that is warming up.
#pragma once

#include <vector>

#include "policy/average.h"
#include "policy/common.h"
#include "policy/outlier_detector.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Limits the work that this invoker sends to a worker while it warms up.
///
/// The platform's rule 4 allows a warming worker a multiple of its present share of what a warm one could
/// serve, summed over all invokers. What a warm one could serve is what this invoker gets served by the mean
/// warm worker over the use of its cores, which probes tell. With many invokers the budget is under one
/// request a window: it is saved up, from a random start, so that the invokers take turns.
///
/// Owned by Policy; asked by RetryPolicy for each candidate. is_warming_up is O(1), has_budget is O(workers)
/// for a warming worker. Work is in milliseconds of a run.
class SlowStart {
 public:
  SlowStart(const Settings& settings, const WorkerTable& workers, const OutlierDetector& outliers,
            Random& random, ActionSink& actions);

  /// A new worker takes the place, or its worker was pruned.
  void reset(WorkerIndex worker);
  /// A list has named another process: its budget is new, and its start is in the worker table.
  void restarted(WorkerIndex worker) { budgets_[worker].filled_at = kNever; }
  /// It was down and answers again: lists come late, so the warm-up counts from here.
  void worker_recovered(WorkerIndex worker, Millis now);

  bool is_warming_up(WorkerIndex worker, Millis now) const;

  /// True if the worker is warm or its budget covers `work`. Asks for a probe of a warm worker if it does
  /// not.
  bool has_budget(WorkerIndex worker, double work, Millis now);
  /// Takes what an attempt costs, nothing for a warm worker; returns it.
  double charge(WorkerIndex worker, double work, Millis now);
  /// The attempt was not sent.
  void refund(WorkerIndex worker, double cost) { budgets_[worker].tokens += cost; }

  void record_served(double work, Millis now);
  /// Use of the cores of a worker, 1 for all of them; that of a warming one says nothing of warm ones.
  void record_utilisation(WorkerIndex worker, double utilisation, Millis now);

 private:
  struct Budget {
    Millis recovered_at{kNever};
    Millis filled_at{kNever};  // kNever: begins anew
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
  double served_ = 0;  // own work of late, decaying since served_at_
  Millis served_at_{kNever};

  Millis warming_since(WorkerIndex worker) const;
  double capacity_share(WorkerIndex worker, Millis now) const;
  double work_rate_of_warm_worker(Millis now) const;
  void probe_utilisation(Millis now);
};

}  // namespace pathstack::policy

/// Limit on the attempts that this invoker has in flight at a worker, and the slowdown of the worker.
#pragma once

#include <vector>

#include "policy/common.h"
#include "policy/load_reports.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Concurrency limit and slowdown of each worker.
///
/// Slowdown is the response time divided by the unloaded response time of the function, 1 at an idle worker.
/// It is estimated from the worker's recent answers to this invoker, or from those of all workers if the
/// worker's are old. Recent reports of waiting requests take precedence over both. The limit adapts by
/// additive increase and multiplicative decrease (AIMD): it rises while answers are fast, and falls, at most
/// once per kBackoff, when the slowdown shows that the worker's cores are oversubscribed. A worker that
/// rejected an attempt as full gets no attempts for a short random time; with a fixed time, many invokers
/// would return together and keep it full.
///
/// Owned by Engine; written by OutcomeRecorder, read by the parts that choose workers. Every call is O(1).
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const WorkerTable& workers, LoadReports& reports,
                   Random& random);

  /// Clears the state at the index: a new worker has it, or its worker was pruned.
  void reset(WorkerIndex worker);

  double slowdown(WorkerIndex worker, Millis now) const;
  double limit(WorkerIndex worker) const { return records_[worker].limit; }
  bool is_at_limit(WorkerIndex worker) const { return workers_[worker].in_flight >= records_[worker].limit; }
  /// The worker rejected an attempt as full a short time ago.
  bool is_full(WorkerIndex worker, Millis now) const { return now < records_[worker].full_until; }
  bool has_room(WorkerIndex worker, Millis now) const {
    return !is_at_limit(worker) && !is_full(worker, now);
  }
  /// Number of further attempts that the limit allows.
  int free_slots(WorkerIndex worker) const;

  /// A fault of this machine kept an attempt or load order to the worker from being sent a short time ago.
  /// Such a fault does not count against the worker.
  bool is_backing_off(WorkerIndex worker, Millis now) const {
    return now < records_[worker].local_fault_until;
  }

  /// Cost of one further attempt, for comparing workers: attempts in flight times slowdown, divided by
  /// weight; higher in another zone.
  double cost(WorkerIndex index, Millis now) const;

  void record_slowdown(WorkerIndex worker, double sample, Millis now);
  void record_full(WorkerIndex worker, Millis now);
  void record_local_fault(WorkerIndex worker, Millis now);

 private:
  struct Record {
    double limit = 0;
    Millis limit_lowered_at{kNever};
    double slowdown = 1;
    Millis slowdown_at{kNever};
    Millis full_until{kNever};
    Millis local_fault_until{kNever};
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  LoadReports& reports_;
  Random& random_;
  std::vector<Record> records_;  // by WorkerIndex
  double fleet_slowdown_ = 1;
  Millis fleet_slowdown_at_{kNever};

  void adapt_limit(WorkerIndex worker, Millis now);
};

}  // namespace pathstack::policy

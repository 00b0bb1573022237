// How much this invoker may have in flight at a worker, and how slow the worker is.
#pragma once

#include <vector>

#include "policy/common.h"
#include "policy/load_reports.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Concurrency limit and slowdown of each worker.
///
/// Slowdown is the response time over the unloaded time of a function, 1 at an idle worker. An invoker's own
/// answers from a worker count while they are fresh, else those of the whole fleet; reports of waiting
/// requests go before both. The limit adapts by additive increase and multiplicative decrease (AIMD): it
/// rises while answers are fast and falls, once in kBackoff at most, when they tell that the worker's cores
/// are oversubscribed. A worker that refused an attempt as full gets nothing for a short while, at random, or
/// many invokers would come back together and keep it full.
///
/// Owned by Policy; written by OutcomeRecorder, read by the parts that choose workers. Every call is O(1).
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const WorkerTable& workers, LoadReports& reports,
                   Random& random);

  /// A new worker takes the place, or its worker was pruned.
  void reset(WorkerIndex worker);

  double slowdown(WorkerIndex worker, Millis now) const;
  double limit(WorkerIndex worker) const { return records_[worker].limit; }
  bool is_at_limit(WorkerIndex worker) const { return workers_[worker].in_flight >= records_[worker].limit; }
  /// It refused an attempt as full a moment ago.
  bool is_full(WorkerIndex worker, Millis now) const { return now < records_[worker].full_until; }
  bool has_room(WorkerIndex worker, Millis now) const {
    return !is_at_limit(worker) && !is_full(worker, now);
  }
  /// Attempts that may go there beyond those in flight.
  int free_slots(WorkerIndex worker) const;

  /// A fault of this machine met an attempt or order to the worker a moment ago; it says nothing of the
  /// worker.
  bool is_backing_off(WorkerIndex worker, Millis now) const {
    return now < records_[worker].local_fault_until;
  }

  /// What one further attempt costs there, for comparison: in flight times slowdown over weight, more in
  /// another zone.
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

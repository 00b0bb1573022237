/// Chooses the worker for a request: a loaded instance to send the request to, or a worker to load at.
#pragma once

#include <optional>

#include "policy/admission.h"
#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/function_table.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/retry_policy.h"
#include "policy/slow_start.h"

namespace pathstack::policy {

/// Combines the checks of the other components for each worker: health, concurrency limit, slow start,
/// admission, retries and placement. Changes no state except the cached candidates of the function and
/// the budgets of workers in slow start, which are refilled when they are queried.
///
/// Owned by Engine, called by Scheduler. usable_slots and warm_instance are O(instances of the function),
/// load_candidate is O(workers).
class WorkerSelector {
 public:
  WorkerSelector(const Settings& settings, const FunctionTable& functions, const ServiceTimes& times,
                 const OutlierDetector& outliers, SlowStart& slow_start, const ConcurrencyLimit& limits,
                 const Admission& admission, RetryPolicy& retries, const Placement& placement);

  /// Number of concurrency slots of loaded or loading instances that `next`, the next request of the
  /// function's queue, may use now (K in the paper). The queue must not be empty. The slots of an instance
  /// are limited to the attempts of this invoker there plus the free slots of the worker, because other
  /// invokers use the rest.
  int usable_slots(const Function& function, const Request& next, Millis now) const;

  /// The warm instance with a free slot where the request has the lowest cost; null if there is none.
  Instance* warm_instance(Function& function, const Request& request, Millis now);

  /// The first candidate that may load the function and has no instance of it yet; empty if there is none.
  std::optional<WorkerIndex> load_candidate(Function& function, const Request& next, Millis now);

  /// Whether a load may begin at the worker.
  bool may_load(WorkerIndex worker, Millis now) const;

 private:
  const Settings& settings_;
  const FunctionTable& functions_;
  const ServiceTimes& times_;
  const OutlierDetector& outliers_;
  SlowStart& slow_start_;
  const ConcurrencyLimit& limits_;
  const Admission& admission_;
  RetryPolicy& retries_;
  const Placement& placement_;

  bool may_use(const Function& function, const Request& request, WorkerIndex worker, Millis now) const;
  bool has_free_slot(const Function& function, const Instance& instance, Millis now) const;
  bool is_load_candidate(Function& function, const Request& next, WorkerIndex worker, Millis now);
};

}  // namespace pathstack::policy

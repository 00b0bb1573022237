// Chooses the worker for a request: an instance to send to, or a worker to load at.
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

/// Puts together what the other parts say of each worker; changes no state but the budgets of warming
/// workers, which fill when they are asked for.
///
/// Owned by Policy, called by Scheduler. usable_slots and warm_instance are O(instances of the function),
/// load_candidate is O(workers).
class WorkerSelector {
 public:
  WorkerSelector(const Settings& settings, const FunctionTable& functions, const ServiceTimes& times,
                 const OutlierDetector& outliers, SlowStart& slow_start, const ConcurrencyLimit& limits,
                 const Admission& admission, RetryPolicy& retries, const Placement& placement);

  /// K of the paper, counted in concurrency slots: those of instances loaded or loading that the next request
  /// of the queue, which must not be empty, may use now. Slots at a worker that is full belong to other
  /// invokers.
  int usable_slots(const Function& function, const Request& next, Millis now) const;

  /// The instance with a free slot where the request costs least; null if there is none.
  Instance* warm_instance(Function& function, const Request& request, Millis now);

  /// The first candidate that may load the function and has no instance of it yet.
  std::optional<WorkerIndex> load_candidate(Function& function, const Request& next, Millis now);

  /// A load may begin at the worker.
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

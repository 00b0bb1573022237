// ESFF: when to queue, when to load, and who gets a worker when a request ends.
#pragma once

#include "policy/admission.h"
#include "policy/common.h"
#include "policy/function_table.h"
#include "policy/lease_renewal.h"
#include "policy/load_order_budget.h"
#include "policy/membership_lease.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"
#include "policy/service_times.h"
#include "policy/slow_start.h"
#include "policy/worker_selector.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Enhanced Shortest Function First, after "Efficient Serverless Function Scheduling at the Network Edge";
/// departures are in docs/design.md.
///
/// Requests queue by function. One takes a free slot of a warm instance; else a load begins only if the
/// expected queue after it, E, is above 0 (equations 6 and 7 with V = 0). When an attempt ends its worker
/// goes to the queued function of the lowest weight (equations 9 and 10). V is 0 since workers unload idle
/// instances by themselves.
///
/// Owned by Policy, which calls consider for a function with news, schedule_all at each list and sweep, and
/// attempt_ended. consider is O(workers + instances of the function) for each request sent; the other two add
/// O(functions with a queue x instances).
class Scheduler {
 public:
  Scheduler(const Settings& settings, WorkerTable& workers, MembershipLease& lease, LeaseRenewal& renewal,
            FunctionTable& functions, RequestTable& requests, const ServiceTimes& times,
            SlowStart& slow_start, const Admission& admission, RetryPolicy& retries, WorkerSelector& selector,
            LoadOrderBudget& order_budget, ActionSink& actions);

  /// Sends what may be sent of the function's queue; then begins one load if E > 0.
  void schedule(Function& function, Millis now);
  /// The same for all queued functions, the lowest weight first.
  void schedule_all(Millis now);
  /// An attempt of the function ended at the worker (completion handoff).
  void attempt_ended(Function& function, WorkerIndex worker, Millis now);

 private:
  const Settings& settings_;
  WorkerTable& workers_;
  MembershipLease& lease_;
  LeaseRenewal& renewal_;
  FunctionTable& functions_;
  RequestTable& requests_;
  const ServiceTimes& times_;
  SlowStart& slow_start_;
  const Admission& admission_;
  RetryPolicy& retries_;
  WorkerSelector& selector_;
  LoadOrderBudget& order_budget_;
  ActionSink& actions_;

  int usable_slots(const Function& function, Millis now) const;
  double expected_queue_after_load(const Function& function, int slots) const;
  double load_weight(const Function& function, Millis now) const;
  /// What kept the head of a queue from being sent.
  enum class StopReason { queue_is_empty, no_instance, worker_unconfirmed, delayed };
  StopReason send_queued(Function& function, Millis now);
  void start_load(Function& function, WorkerIndex worker, Millis now);
  bool should_load_by_sending(const Function& function, const Request& next, bool may_order) const;
  void order_load(Function& function, Instance& instance, Millis now);
  void send(Request& request, Instance& instance, Millis now);
};

}  // namespace pathstack::policy

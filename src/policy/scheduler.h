/// The scheduling algorithm (ESFF): when requests are queued, when functions are loaded, and which function
/// gets a worker when an attempt ends.
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

/// Enhanced Shortest Function First, after the paper "Efficient Serverless Function Scheduling at the Network
/// Edge"; docs/design.md lists the differences.
///
/// Requests are queued by function. A request takes a free slot of a warm instance; if there is none, a load
/// starts only if E, the expected queue length after the load, is above 0 (equations 6 and 7 with V = 0).
/// When an attempt ends, its worker is assigned to the queued function of the lowest weight (equations 9 and
/// 10). V, the time of an unload, is 0 since workers unload idle instances by themselves.
///
/// Owned by Engine, which calls schedule for a function after an event that concerns it, schedule_all at each
/// worker list and sweep, and attempt_ended. schedule is O(workers + instances of the function) for each
/// request sent; the other two add O(functions with a queue x instances).
class Scheduler {
 public:
  Scheduler(const Settings& settings, WorkerTable& workers, MembershipLease& lease, LeaseRenewal& renewal,
            FunctionTable& functions, RequestTable& requests, const ServiceTimes& times,
            SlowStart& slow_start, const Admission& admission, RetryPolicy& retries, WorkerSelector& selector,
            LoadOrderBudget& order_budget, ActionSink& actions);

  /// Sends the queued requests of the function that may be sent, then starts one load if E > 0.
  void schedule(Function& function, Millis now);
  /// Calls schedule for every function with queued requests, in ascending order of weight.
  void schedule_all(Millis now);
  /// An attempt of the function ended at the worker: assigns the freed capacity to the function of the lowest
  /// weight.
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
  /// Why send_queued stopped: the queue is empty, no warm instance can take the next request, its worker
  /// must be confirmed by a probe first, or LeaseRenewal delays the request.
  enum class StopReason { queue_is_empty, no_instance, worker_unconfirmed, delayed };
  StopReason send_queued(Function& function, Millis now);
  void start_load(Function& function, WorkerIndex worker, Millis now);
  bool should_load_by_sending(const Function& function, const Request& next, bool may_order) const;
  void order_load(Function& function, Instance& instance, Millis now);
  void send(Request& request, Instance& instance, Millis now);
};

}  // namespace pathstack::policy

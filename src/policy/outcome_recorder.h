/// Records the outcomes of attempts, load orders and probes, and handles attempts that stay unanswered.
#pragma once

#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/function_table.h"
#include "policy/load_order_budget.h"
#include "policy/load_reports.h"
#include "policy/membership_lease.h"
#include "policy/outlier_detector.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"
#include "policy/service_times.h"
#include "policy/slow_start.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Passes what an outcome reveals to the components that store it: service times, instances, slowdown, health
/// and budgets. Gives no final answers and starts no attempts.
///
/// Owned by Engine. record_attempt and record_order are O(instances of the function), handle_unanswered is
/// O(requests).
class OutcomeRecorder {
 public:
  OutcomeRecorder(const Settings& settings, WorkerTable& workers, MembershipLease& lease,
                  FunctionTable& functions, RequestTable& requests, ServiceTimes& times,
                  OutlierDetector& outliers, SlowStart& slow_start, LoadReports& reports,
                  ConcurrencyLimit& limits, LoadOrderBudget& order_budget, const RetryPolicy& retries,
                  ActionSink& actions);

  /// `attempt` of `request` has ended with `answer`.
  void record_attempt(Request& request, const Attempt& attempt, const event::AttemptEnded& answer,
                      Millis now);
  void record_order(Function& function, WorkerIndex worker, const event::LoadEnded& order, Millis now);
  void record_probe(WorkerIndex worker, const event::ProbeEnded& probe, Millis now);

  /// The worker has closed the last connection that this invoker had to it. Counts as a restart while the
  /// worker list is not current; no effect otherwise.
  void record_connections_lost(WorkerIndex worker, Millis now);

  /// The worker has answered, so its process runs; if it was down until now, its warm-up starts.
  void note_alive(WorkerIndex worker, Millis now);

  /// Counts attempts that have been unanswered for too long as failures, and cancels them where the request
  /// may run again: at a silent worker they would wait until their deadlines.
  void handle_unanswered(Millis now);

 private:
  const Settings& settings_;
  WorkerTable& workers_;
  MembershipLease& lease_;
  FunctionTable& functions_;
  RequestTable& requests_;
  ServiceTimes& times_;
  OutlierDetector& outliers_;
  SlowStart& slow_start_;
  LoadReports& reports_;
  ConcurrencyLimit& limits_;
  LoadOrderBudget& order_budget_;
  const RetryPolicy& retries_;
  ActionSink& actions_;

  void handle_new_process(WorkerIndex worker, Millis now);
  void undo_unsent_attempt(Request& request, const Attempt& attempt, Instance& instance, Millis now);
  void apply_outcome(Request& request, const Attempt& attempt, Instance& instance,
                     const event::AttemptEnded& answer, Millis now);
  void record_success(const Request& request, const Attempt& attempt, Instance& instance,
                      const event::AttemptEnded& answer, Millis now);
  void record_times(const Request& request, const Attempt& attempt, const event::AttemptEnded& answer,
                    Millis now);
  void record_useless_answer(Request& request, const Attempt& attempt, const event::AttemptEnded& answer,
                             Millis now);
  void record_failure(const Request& request, const Attempt& attempt, const event::AttemptEnded& answer,
                      Millis now);
  bool implies_load(const Request& request, const Attempt& attempt, double elapsed, Millis now) const;
  bool is_overdue(const Request& request, const Attempt& attempt, Millis now) const;
  void presume_lost(const Request& request, Attempt& attempt, Millis now);
};

}  // namespace pathstack::policy

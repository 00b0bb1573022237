/// Decides which requests are worth queueing and sending, by latency objective and priority weight.
#pragma once

#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/request_table.h"
#include "policy/service_times.h"

namespace pathstack::policy {

/// Decides by the value that an answer to a request still has.
///
/// Requests past their latency objective have little value and would delay those queued behind them. The
/// longest wait that a request accepts at a slow worker decreases with the priority weight of its class, so
/// that in an overload the classes of higher value are served first.
///
/// Owned by Engine; called by Scheduler, WorkerSelector, RetryPolicy and LoadShedder. All calls are
/// O(classes) at most, except next_in_queue, which is O(queue of the function x log requests).
class Admission {
 public:
  Admission(const Settings& settings, RequestTable& requests, const ServiceTimes& times,
            const ConcurrencyLimit& limits);

  /// True if a run that starts at `now` on an idle worker would end within the latency objective.
  bool can_meet_objective(const Request& request, Millis now) const;
  /// True if the request can meet its latency objective, or if late answers of its class keep at least half
  /// of their value.
  bool is_worth_queueing(const Request& request, Millis now) const;
  /// True if the request accepts the wait that the slowdown of the worker implies.
  bool is_worth_sending(const Request& request, WorkerIndex worker, Millis now) const;

  /// The first queued request that can still meet its latency objective and is not in backoff after a local
  /// fault; if there is none, the first queued request; null if the queue is empty.
  Request* next_in_queue(const Function& function, Millis now) const;

 private:
  const Settings& settings_;
  RequestTable& requests_;
  const ServiceTimes& times_;
  const ConcurrencyLimit& limits_;
  const double shortest_objective_;

  /// Value of an answer per millisecond of work. Settings with value_per_work state it directly; otherwise
  /// the value of the class is divided by its run time.
  double priority_weight(int class_index) const;
  double highest_priority_weight() const;
};

}  // namespace pathstack::policy

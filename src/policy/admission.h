// Which requests are worth queueing and sending: latency objective and priority weight.
#pragma once

#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/request_table.h"
#include "policy/service_times.h"

namespace pathstack::policy {

/// Judges requests by what an answer is still worth.
///
/// Calls past their latency objective are worth little, and would make those behind them late. The wait that
/// a request accepts at a slow worker falls with the priority weight of its class, so that in an overload the
/// worthier classes go first.
///
/// Owned by Policy; called by Scheduler, WorkerSelector, RetryPolicy and LoadShedder. O(classes) at most, but
/// for next_in_queue: O(queue of the function x log requests).
class Admission {
 public:
  Admission(const Settings& settings, RequestTable& requests, const ServiceTimes& times,
            const ConcurrencyLimit& limits);

  /// An unloaded run from now on would end within the latency objective.
  bool can_meet_objective(const Request& request, Millis now) const;
  /// An answer is worth waiting for: in time, or late in a class where late answers keep most of their worth.
  bool is_worth_queueing(const Request& request, Millis now) const;
  /// The wait that the worker's slowdown implies is one that the request accepts.
  bool is_worth_sending(const Request& request, WorkerIndex worker, Millis now) const;

  /// The first request that can still meet its objective and need not wait after a local fault, else the
  /// first; null if none is queued.
  Request* next_in_queue(const Function& function, Millis now) const;

 private:
  const Settings& settings_;
  RequestTable& requests_;
  const ServiceTimes& times_;
  const ConcurrencyLimit& limits_;
  const double shortest_objective_;

  /// Priority weight for each millisecond of work.
  double priority_weight(int class_index) const;
  double highest_priority_weight() const;
};

}  // namespace pathstack::policy

// What may run again, where and how often; the final answers that are the module's to give.
#pragma once

#include <vector>

#include "policy/admission.h"
#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/outlier_detector.h"
#include "policy/request_table.h"
#include "policy/service_times.h"
#include "policy/slow_start.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Attempts and retries of requests.
///
/// The platform's rule 2 must hold for each attempt and for each refusal (a refused client comes again): what
/// may have run is repeated only where the semantics of its class permit, for requests with an idempotency
/// key only within the key's window and scope. Attempts that a fault of this machine kept from leaving count
/// for nothing.
///
/// Owned by Policy. allows_worker and may_send are O(attempts of the request), the latter more for a worker
/// that is warming up; retry is O(workers x attempts).
class RetryPolicy {
 public:
  RetryPolicy(const Settings& settings, const WorkerTable& workers, RequestTable& requests,
              const ServiceTimes& times, const OutlierDetector& outliers, SlowStart& slow_start,
              const ConcurrencyLimit& limits, const Admission& admission, Random& random,
              ActionSink& actions);

  /// Whether the request may run again at the worker; without one, whether it may anywhere, so that it may be
  /// refused.
  bool may_repeat(const Request& request, const Worker* worker, Millis now) const;
  /// False if the request avoids the worker, and another one is ready that it does not avoid.
  bool allows_worker(const Request& request, WorkerIndex worker) const;
  /// Whether an attempt may go to the worker now. Has_room is a condition of its own.
  bool may_send(const Request& request, WorkerIndex worker, Millis now);

  /// Queues the request again at the front, or gives it its final answer if no retry is worth it or allowed.
  void retry_or_give_up(Request& request, Millis now);
  /// The final answer: a refusal if the request may run again, else a failure. The request is finished.
  void give_up(Request& request, Millis now);
  double given_up_after_attempt() const { return given_up_after_attempt_; }

  /// Time of the latency objective of a request that arrives now with this time left. A client's own retry is
  /// distinguished from a first attempt by its time left: what most requests of its class are given is a
  /// first one's; the objective of a retry began with its first attempt.
  Millis objective_at(int class_index, Millis time_left, Millis now);

 private:
  struct FirstAttemptTime {  // of a class
    Millis time_left{0};     // what first attempts are given
    int votes = 0;           // arrivals that had this time left, over those that had another
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  RequestTable& requests_;
  const ServiceTimes& times_;
  const OutlierDetector& outliers_;
  SlowStart& slow_start_;
  const ConcurrencyLimit& limits_;
  const Admission& admission_;
  Random& random_;
  ActionSink& actions_;
  std::vector<FirstAttemptTime> first_attempt_times_;  // by class_slot
  double given_up_after_attempt_ = 0;

  bool has_attempts_left(const Request& request) const;
  bool may_repeat_after(const Attempt& attempt, const ClassSettings& settings, const Worker* worker,
                        Millis now) const;
  bool may_repeat_anywhere(const Request& request, Millis now) const;
  Millis retry_after(const Request& request, Millis now);
};

}  // namespace pathstack::policy

/// Decides which requests may run again, where and how often, and gives the final answers that the decision
/// module itself gives.
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

/// Permits attempts and retries of requests.
///
/// Rule 2 of the platform applies to each attempt and to each refusal, since a refused client retries: a
/// request that may have run is repeated only where the semantics of its class permit, and a request with an
/// idempotency key only within the time window and the scope of the key. Attempts that a local fault
/// prevented from being sent are ignored.
///
/// Owned by Engine. allows_worker and may_send are O(attempts of the request); may_send costs more for a
/// worker that is warming up (see SlowStart). retry_or_give_up is O(workers x attempts).
class RetryPolicy {
 public:
  RetryPolicy(const Settings& settings, const WorkerTable& workers, RequestTable& requests,
              const ServiceTimes& times, const OutlierDetector& outliers, SlowStart& slow_start,
              const ConcurrencyLimit& limits, const Admission& admission, Random& random,
              ActionSink& actions);

  /// True if the request may run again at `worker`. If `worker` is null, true if it may run again at
  /// whichever worker a refused client reaches, so that it may be refused.
  bool may_repeat(const Request& request, const Worker* worker, Millis now) const;
  /// False if the request avoids the worker while another worker is ready that it does not avoid.
  bool allows_worker(const Request& request, WorkerIndex worker) const;
  /// True if an attempt may be sent to the worker now. The caller checks ConcurrencyLimit::has_room
  /// separately.
  bool may_send(const Request& request, WorkerIndex worker, Millis now);

  /// Queues the request again at the front, or gives its final answer if a retry is not allowed or not worth
  /// it.
  void retry_or_give_up(Request& request, Millis now);
  /// Gives the final answer and finishes the request: a refusal if the request may run again, otherwise a
  /// failure.
  void give_up(Request& request, Millis now);
  /// Number of requests given up after at least one attempt.
  double given_up_after_attempt() const { return given_up_after_attempt_; }

  /// Point in time at which the latency objective ends for a request that arrives at `now` with `time_left`
  /// until its deadline. A client's own retry is distinguished from its first attempt by `time_left`: the
  /// value that most requests of the class have is taken for that of first attempts. The latency objective of
  /// a retry starts at its first attempt.
  Millis objective_at(int class_index, Millis time_left, Millis now);

 private:
  struct FirstAttemptTime {  // of one class; found by majority vote
    Millis time_left{0};     // time left of first attempts
    int votes = 0;           // weighted arrivals with this time left minus arrivals with another one
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

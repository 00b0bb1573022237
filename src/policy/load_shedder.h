/// Load shedding: gives up queued requests whose answer would come too late.
#pragma once

#include <array>
#include <cstddef>

#include "policy/admission.h"
#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/function_table.h"
#include "policy/outlier_detector.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"

namespace pathstack::policy {

/// Why a request that was shed could not be sent to a worker that is believed to have its function loaded.
enum class ShedReason {
  no_instance,       // no worker has the function loaded
  slots_in_use,      // all concurrency slots of the instance were in use
  slowed_down,       // the wait at the worker exceeded what the request accepts
  worker_unhealthy,  // ejected, suspected to be down, or silent
  at_own_limit,      // this invoker reached its concurrency limit for the worker
  worker_full,       // the worker recently rejected an attempt as full
};
inline constexpr std::size_t kShedReasonCount = 6;

/// Name of the reason in the counters that operators read.
const char* log_name(ShedReason reason);

/// Gives up queued requests as soon as they cannot meet their latency objective any more, since they would
/// delay the requests behind them. While their function is being loaded, and in classes where late answers
/// keep most of their value, requests stay queued until a run no longer fits before their deadline.
///
/// Owned by Engine, called at each sweep. O(queued requests x instances of their function).
class LoadShedder {
 public:
  LoadShedder(const FunctionTable& functions, RequestTable& requests, const ServiceTimes& times,
              const OutlierDetector& outliers, const ConcurrencyLimit& limits, const Admission& admission,
              RetryPolicy& retries);

  void shed(Function& function, Millis now);
  /// Number of requests shed for the reason.
  double count(ShedReason reason) const { return counts_[static_cast<std::size_t>(reason)]; }

 private:
  const FunctionTable& functions_;
  RequestTable& requests_;
  const ServiceTimes& times_;
  const OutlierDetector& outliers_;
  const ConcurrencyLimit& limits_;
  const Admission& admission_;
  RetryPolicy& retries_;
  std::array<double, kShedReasonCount> counts_{};

  ShedReason reason_for(const Function& function, const Request& request, Millis now) const;
};

}  // namespace pathstack::policy

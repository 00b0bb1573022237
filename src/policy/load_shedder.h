// Ends queued requests whose answer would come too late.
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

/// What kept a request that was shed from a worker believed to have its function loaded.
enum class ShedReason {
  no_instance,       // there was none
  slots_in_use,      // all concurrency slots of the instance were in use
  slowed_down,       // the wait at the worker was longer than the request accepts
  worker_unhealthy,  // ejected, suspect or silent
  at_own_limit,      // this invoker has as much in flight there as it may
  worker_full,       // it refused an attempt a moment ago
};
inline constexpr std::size_t kShedReasonCount = 6;

/// Name of the reason in the log, which operators read.
const char* log_name(ShedReason reason);

/// Load shedding: requests past their objective end at once, unless a load of their function is under way.
/// They would make those behind them late.
///
/// Owned by Policy, called at each sweep. O(queued requests x instances of their function).
class LoadShedder {
 public:
  LoadShedder(const FunctionTable& functions, RequestTable& requests, const ServiceTimes& times,
              const OutlierDetector& outliers, const ConcurrencyLimit& limits, const Admission& admission,
              RetryPolicy& retries);

  void shed(Function& function, Millis now);
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

#include "policy/load_shedder.h"

#include <algorithm>
#include <vector>

namespace pathstack::policy {

const char* log_name(ShedReason reason) {
  switch (reason) {
    case ShedReason::no_instance: return "no_copy";
    case ShedReason::slots_in_use: return "lanes_busy";
    case ShedReason::slowed_down: return "too_stretched";
    case ShedReason::worker_unhealthy: return "unhealthy";
    case ShedReason::at_own_limit: return "own_limit";
    case ShedReason::worker_full: return "worker_full";
  }
  return "";
}

LoadShedder::LoadShedder(const FunctionTable& functions, RequestTable& requests, const ServiceTimes& times,
                         const OutlierDetector& outliers, const ConcurrencyLimit& limits,
                         const Admission& admission, RetryPolicy& retries)
    : functions_(functions),
      requests_(requests),
      times_(times),
      outliers_(outliers),
      limits_(limits),
      admission_(admission),
      retries_(retries) {}

void LoadShedder::shed(Function& function, Millis now) {
  if (function.queue.empty()) return;
  const auto is_loading = [](const Instance& instance) { return instance.loading > 0; };
  const bool loading = std::any_of(function.instances.begin(), function.instances.end(), is_loading);
  const std::vector<std::uint64_t> queued =
      function.queue;  // a copy: give_up removes requests from the queue
  for (const std::uint64_t serial : queued) {
    Request& request = requests_.at(serial);
    const Millis run(times_.unloaded_run(function.times));
    const bool past_deadline = now + run > request.deadline;
    if (!past_deadline && (loading || admission_.is_worth_queueing(request, now))) continue;
    ++counts_[static_cast<std::size_t>(reason_for(function, request, now))];
    retries_.give_up(request, now);
  }
}

ShedReason LoadShedder::reason_for(const Function& function, const Request& request, Millis now) const {
  ShedReason reason = ShedReason::no_instance;
  for (const Instance& instance : function.instances) {
    if (!functions_.is_warm(instance, now)) continue;
    const WorkerIndex worker = instance.worker;
    const bool healthy =
        outliers_.is_usable(worker, now) && outliers_.serves_class(worker, request.class_index, now);
    if (healthy && limits_.has_room(worker, now)) {
      const bool in_use = instance.in_flight >= instance.loaded * function.slots;
      return in_use ? ShedReason::slots_in_use : ShedReason::slowed_down;
    }
    if (!healthy) {
      reason = ShedReason::worker_unhealthy;
    } else {
      reason = limits_.is_at_limit(worker) ? ShedReason::at_own_limit : ShedReason::worker_full;
    }
  }
  return reason;
}

}  // namespace pathstack::policy

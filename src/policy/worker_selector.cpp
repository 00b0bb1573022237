#include "policy/worker_selector.h"

#include <algorithm>

namespace pathstack::policy {
namespace {

/// Limit on the unanswered load orders of this invoker: more of them would slow down an already slow
/// function store.
constexpr int kMaxLoadsInFlight = 4;
/// The cost of sending a retry to the worker of the last attempt is multiplied by this.
constexpr double kSameWorkerRetryCost = 4;
/// Where overflow is restricted, a request may be loaded at workers up to this multiple of the replica count.
constexpr int kMaxReplicaMultiple = 1;

}  // namespace

WorkerSelector::WorkerSelector(const Settings& settings, const FunctionTable& functions,
                               const ServiceTimes& times, const OutlierDetector& outliers,
                               SlowStart& slow_start, const ConcurrencyLimit& limits,
                               const Admission& admission, RetryPolicy& retries, const Placement& placement)
    : settings_(settings),
      functions_(functions),
      times_(times),
      outliers_(outliers),
      slow_start_(slow_start),
      limits_(limits),
      admission_(admission),
      retries_(retries),
      placement_(placement) {}

bool WorkerSelector::may_use(const Function& function, const Request& request, WorkerIndex worker,
                             Millis now) const {
  if (!retries_.allows_worker(request, worker) || !outliers_.is_usable(worker, now)) return false;
  if (!outliers_.serves_class(worker, function.times.class_index, now)) return false;
  if (!admission_.is_worth_sending(request, worker, now)) return false;
  return !limits_.is_full(worker, now) && !limits_.is_backing_off(worker, now);
}

int WorkerSelector::usable_slots(const Function& function, const Request& next, Millis now) const {
  int slots = 0;
  for (const Instance& instance : function.instances) {
    if (!may_use(function, next, instance.worker, now)) continue;
    const int loaded = functions_.is_warm(instance, now) ? instance.loaded : 0;
    const int instance_slots = (loaded + instance.loading) * function.slots;
    const int worker_slots = instance.in_flight + limits_.free_slots(instance.worker);
    slots += std::min(instance_slots, worker_slots);
  }
  return slots;
}

bool WorkerSelector::has_free_slot(const Function& function, const Instance& instance, Millis now) const {
  if (!functions_.is_warm(instance, now)) return false;
  if (instance.in_flight >= instance.loaded * function.slots) return false;
  return limits_.has_room(instance.worker, now);
}

Instance* WorkerSelector::warm_instance(Function& function, const Request& request, Millis now) {
  Instance* best = nullptr;
  double lowest_cost = 0;
  for (Instance& instance : function.instances) {
    const WorkerIndex worker = instance.worker;
    if (!has_free_slot(function, instance, now)) continue;
    if (!admission_.is_worth_sending(request, worker, now)) continue;
    if (!retries_.may_send(request, worker, now)) continue;
    const bool was_tried = !request.attempts.empty() && request.attempts.back().worker == worker;
    const double cost = limits_.cost(worker, now) * (was_tried ? kSameWorkerRetryCost : 1);
    if (best != nullptr && cost >= lowest_cost) continue;
    best = &instance;
    lowest_cost = cost;
  }
  return best;
}

std::optional<WorkerIndex> WorkerSelector::load_candidate(Function& function, const Request& next,
                                                          Millis now) {
  placement_.update(function, now);
  // A request that overflows to a worker beyond the replicas loads an instance there, which evicts others.
  // Workers that are unusable or in slow start do not count as replicas seen.
  const Millis load_and_run(times_.load(function.times) + times_.unloaded_run(function.times));
  const bool in_time = now + load_and_run <= next.objective_at;
  const bool may_overflow = !has_many_invokers(settings_) || settings_.rejects_on_miss || in_time;
  const int class_index = function.times.class_index;
  int replicas_seen = 0;
  for (const WorkerIndex worker : function.candidates.order) {
    if (!may_overflow && replicas_seen > kMaxReplicaMultiple * function.candidates.replicas)
      return std::nullopt;
    const bool healthy = outliers_.is_usable(worker, now) && outliers_.serves_class(worker, class_index, now);
    if (healthy && !slow_start_.is_warming_up(worker, now)) ++replicas_seen;
    if (healthy && is_load_candidate(function, next, worker, now)) return worker;
  }
  return std::nullopt;
}

bool WorkerSelector::is_load_candidate(Function& function, const Request& next, WorkerIndex worker,
                                       Millis now) {
  if (!may_load(worker, now) || !limits_.has_room(worker, now)) return false;
  if (!retries_.allows_worker(next, worker)) return false;
  const Instance* instance = function.find_instance(worker);
  const bool has_instance =
      instance != nullptr && (functions_.is_warm(*instance, now) || instance->loading > 0);
  if (has_instance) return false;
  if (!slow_start_.has_budget(worker, times_.work(next.class_index), now)) return false;
  return admission_.is_worth_sending(next, worker, now);
}

bool WorkerSelector::may_load(WorkerIndex worker, Millis now) const {
  if (!outliers_.is_usable(worker, now) || limits_.is_backing_off(worker, now)) return false;
  return functions_.loads_in_flight() < kMaxLoadsInFlight;
}

}  // namespace pathstack::policy

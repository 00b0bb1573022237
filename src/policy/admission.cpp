#include "policy/admission.h"

#include <algorithm>
#include <cmath>

namespace pathstack::policy {
namespace {

constexpr double kMinLateValue = 0.5;     // fraction of its value from which on a late answer is worth a wait
constexpr double kToleratedSlowdown = 2;  // service times vary: a slowdown up to this may be chance
constexpr double kMinPriorityWeight = 1e-9;

}  // namespace

Admission::Admission(const Settings& settings, RequestTable& requests, const ServiceTimes& times,
                     const ConcurrencyLimit& limits)
    : settings_(settings),
      requests_(requests),
      times_(times),
      limits_(limits),
      shortest_objective_(shortest_objective_ms(settings)) {}

bool Admission::can_meet_objective(const Request& request, Millis now) const {
  return now + Millis(times_.unloaded_run(request.function->times)) <= request.objective_at;
}

bool Admission::is_worth_queueing(const Request& request, Millis now) const {
  if (can_meet_objective(request, now)) return true;
  const ClassSettings* settings = class_settings(settings_, request.class_index);
  return settings != nullptr && settings->late_value >= kMinLateValue;
}

double Admission::priority_weight(int class_index) const {
  const ClassSettings* settings = class_settings(settings_, class_index);
  if (settings == nullptr) return 1;
  const double run = times_.class_unloaded_run(class_index);
  return settings_.value_per_work || run <= 0 ? settings->value : settings->value / run;
}

double Admission::highest_priority_weight() const {
  double highest = kMinPriorityWeight;
  for (int i = 0; i < static_cast<int>(settings_.classes.size()); ++i) {
    highest = std::max(highest, priority_weight(i));
  }
  return highest;
}

bool Admission::is_worth_sending(const Request& request, WorkerIndex worker, Millis now) const {
  const double run = times_.unloaded_run(request.function->times);
  const double wait = run * std::max(0.0, limits_.slowdown(worker, now) - kToleratedSlowdown);
  if (wait <= 0) return true;
  if (!is_worth_queueing(request, now)) return false;
  const Millis end = can_meet_objective(request, now) ? request.objective_at : request.deadline;
  if (wait + run > (end - now).count()) return false;
  const double weight = priority_weight(request.class_index) / highest_priority_weight();
  return wait <= shortest_objective_ * std::sqrt(weight);
}

Request* Admission::next_in_queue(const Function& function, Millis now) const {
  if (function.queue.empty()) return nullptr;
  for (const std::uint64_t serial : function.queue) {
    Request& request = requests_.at(serial);
    if (can_meet_objective(request, now) && now >= request.not_before) return &request;
  }
  return &requests_.at(function.queue.front());
}

}  // namespace pathstack::policy

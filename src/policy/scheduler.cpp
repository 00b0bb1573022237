#include "policy/scheduler.h"

#include <algorithm>
#include <limits>
#include <map>

namespace pathstack::policy {

Scheduler::Scheduler(const Settings& settings, WorkerTable& workers, MembershipLease& lease,
                     LeaseRenewal& renewal, FunctionTable& functions, RequestTable& requests,
                     const ServiceTimes& times, SlowStart& slow_start, const Admission& admission,
                     RetryPolicy& retries, WorkerSelector& selector, LoadOrderBudget& order_budget,
                     ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      lease_(lease),
      renewal_(renewal),
      functions_(functions),
      requests_(requests),
      times_(times),
      slow_start_(slow_start),
      admission_(admission),
      retries_(retries),
      selector_(selector),
      order_budget_(order_budget),
      actions_(actions) {}

int Scheduler::usable_slots(const Function& function, Millis now) const {
  return selector_.usable_slots(function, *admission_.next_in_queue(function, now), now);
}

// E of equations 6 and 7 with V = 0. The arriving request is in the queue already, so N + 1 is the queue
// length.
double Scheduler::expected_queue_after_load(const Function& function, int slots) const {
  const auto queued = static_cast<double>(function.queue.size());
  if (slots == 0) return queued;
  const double run = times_.run(function.times);
  double load = times_.load(function.times);
  // L is capped at the part of the latency objective that a run leaves: slow storage inflates L, and without
  // the cap no load would start for the queued requests.
  const ClassSettings* settings = class_settings(settings_, function.times.class_index);
  const double objective = settings != nullptr ? settings->latency_objective.count() : 0;
  if (objective > 0) load = std::min(load, std::max(objective - run, run));
  if (run <= 0 || load <= 0) return 0;  // no samples yet: load only if nothing is warm
  return queued - load * slots / run;
}

// Weight of a queued function, equation 10; infinite if E is not above 0.
double Scheduler::load_weight(const Function& function, Millis now) const {
  const int slots = usable_slots(function, now);
  const double queued = expected_queue_after_load(function, slots);
  if (queued <= 0) return std::numeric_limits<double>::infinity();
  return times_.run(function.times) + times_.load(function.times) * (slots + 1) / queued;
}

void Scheduler::schedule(Function& function, Millis now) {
  // No load is needed where the answer to a probe, or the end of a short delay, lets the queue continue.
  const StopReason stopped_by = send_queued(function, now);
  if (stopped_by == StopReason::worker_unconfirmed || stopped_by == StopReason::delayed) return;
  if (function.queue.empty() || expected_queue_after_load(function, usable_slots(function, now)) <= 0) return;
  const Request& next = *admission_.next_in_queue(function, now);
  const auto worker = selector_.load_candidate(function, next, now);
  if (worker) start_load(function, *worker, now);
}

void Scheduler::schedule_all(Millis now) {
  std::multimap<double, Function*> by_weight;
  for (const auto& function : functions_.all()) {
    if (!function->queue.empty()) by_weight.emplace(load_weight(*function, now), function.get());
  }
  for (const auto& [weight, function] : by_weight) schedule(*function, now);
}

// Equation 9 with V = 0 is R, the run time of the function whose attempt ended. The function of the lowest
// weight below R gets the worker; if there is none, the next request of the same function does.
void Scheduler::attempt_ended(Function& function, WorkerIndex worker, Millis now) {
  if (!selector_.may_load(worker, now)) return schedule(function, now);
  Function* lightest = nullptr;
  double lowest_weight = times_.run(function.times);
  for (const auto& other : functions_.all()) {
    if (other.get() == &function || other->queue.empty()) continue;
    const double weight = load_weight(*other, now);
    if (weight >= lowest_weight) continue;
    lightest = other.get();
    lowest_weight = weight;
  }
  if (lightest != nullptr) start_load(*lightest, worker, now);
  schedule(function, now);
}

Scheduler::StopReason Scheduler::send_queued(Function& function, Millis now) {
  while (Request* next = admission_.next_in_queue(function, now)) {
    Instance* instance = selector_.warm_instance(function, *next, now);
    if (instance == nullptr) return StopReason::no_instance;
    if (!lease_.is_confirmed(instance->worker, now)) {
      lease_.send_probe(instance->worker, now);
      return StopReason::worker_unconfirmed;
    }
    if (renewal_.should_delay(*next, requests_.queued(), now)) return StopReason::delayed;
    send(*next, *instance, now);
  }
  return StopReason::queue_is_empty;
}

void Scheduler::start_load(Function& function, WorkerIndex worker, Millis now) {
  if (!lease_.is_confirmed(worker, now)) return lease_.send_probe(worker, now);
  Instance& instance = function.instance_at(worker);
  if (instance.loading > 0) return;
  Request& next = *admission_.next_in_queue(function, now);
  const bool may_order =
      settings_.load_orders && !renewal_.needs_load_budget() && order_budget_.allows_order(now);
  if (should_load_by_sending(function, next, may_order)) {
    if (!retries_.may_send(next, worker, now)) return;
    instance.loaded = 1;
    send(next, instance, now);
    send_queued(function, now);
    return;
  }
  if (may_order && now >= function.no_order_before) order_load(function, instance, now);
}

// Whether to send the request itself, so that the worker loads the function for it, rather than a load order.
// With many invokers each one sees only a small part of the requests, so the replica is most likely warm
// already; with few, requests sent this way would be loads that bypass the load order budget.
bool Scheduler::should_load_by_sending(const Function& function, const Request& next, bool may_order) const {
  if (settings_.rejects_on_miss) return next.attempts_sent() == 0 && !function.last_attempt_missed;
  return has_many_invokers(settings_) || !may_order;
}

void Scheduler::order_load(Function& function, Instance& instance, Millis now) {
  const bool warm = functions_.is_warm(instance, now);
  const int target_instances = warm ? std::min(instance.loaded + 1, kMaxInstancesPerWorker) : 1;
  actions_.emit(action::Load{workers_[instance.worker].worker, function.id, target_instances});
  order_budget_.order_sent(now);
  functions_.begin_load(instance, now);
}

void Scheduler::send(Request& request, Instance& instance, Millis now) {
  const WorkerIndex worker = instance.worker;
  requests_.dequeue(request);
  actions_.emit(action::Send{request.id, workers_[worker].worker, request.deadline - now});
  Attempt& attempt = requests_.start_attempt(request, worker, now);
  attempt.confirmed = instance.confirmed;
  attempt.only_in_flight = instance.in_flight == 0;
  workers_.attempt_started(worker, attempt.confirmed, now);
  if (attempt.confirmed) renewal_.attempt_sent(worker, now);
  ++instance.in_flight;
  instance.used_at = now;
  attempt.warm_up_cost = slow_start_.charge(worker, times_.work(request.class_index), now);
}

}  // namespace pathstack::policy

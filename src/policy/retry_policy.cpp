#include "policy/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace pathstack::policy {
namespace {

// After this many arrivals in a row with other times left, the time left of first attempts is replaced.
constexpr int kMaxVotes = 20;
// Votes of an arrival that matches; each other one takes one away, so up to two of three may be retries.
constexpr int kVotesPerMatch = 3;

}  // namespace

RetryPolicy::RetryPolicy(const Settings& settings, const WorkerTable& workers, RequestTable& requests,
                         const ServiceTimes& times, const OutlierDetector& outliers, SlowStart& slow_start,
                         const ConcurrencyLimit& limits, const Admission& admission, Random& random,
                         ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      requests_(requests),
      times_(times),
      outliers_(outliers),
      slow_start_(slow_start),
      limits_(limits),
      admission_(admission),
      random_(random),
      actions_(actions),
      first_attempt_times_(settings.classes.size() + 1) {}

bool RetryPolicy::may_repeat(const Request& request, const Worker* worker, Millis now) const {
  const ClassSettings* settings = class_settings(settings_, request.class_index);
  for (const Attempt& attempt : request.attempts) {
    if (attempt.state == AttemptState::never_ran || attempt.state == AttemptState::not_sent) continue;
    if (settings == nullptr || !may_repeat_after(attempt, *settings, worker, now)) return false;
  }
  return true;
}

bool RetryPolicy::may_repeat_after(const Attempt& attempt, const ClassSettings& settings,
                                   const Worker* worker, Millis now) const {
  if (settings.semantics == Semantics::once) return false;
  if (settings.semantics == Semantics::repeatable) return true;
  if (now - attempt.sent_at + settings_.tick > settings.key_window) return false;
  if (settings.scope == KeyScope::all) return true;
  if (worker == nullptr) return false;
  const Worker& first = workers_[attempt.worker];
  return settings.scope == KeyScope::zone ? worker->zone == first.zone : worker->cell == first.cell;
}

bool RetryPolicy::may_repeat_anywhere(const Request& request, Millis now) const {
  const auto may_repeat_at = [&](const Worker& worker) { return may_repeat(request, &worker, now); };
  return std::any_of(workers_.all().begin(), workers_.all().end(), may_repeat_at) ||
         may_repeat(request, nullptr, now);
}

bool RetryPolicy::has_attempts_left(const Request& request) const {
  return request.attempts_sent() < settings_.max_attempts;
}

// Without this check a worker that answers at once but serves nothing would use up all attempts of a request.
bool RetryPolicy::allows_worker(const Request& request, WorkerIndex worker) const {
  if (!request.avoids(worker)) return true;
  const auto is_ready = [&](WorkerIndex index) { return workers_.is_ready(index); };
  const auto avoided =
      std::count_if(request.avoided_workers.begin(), request.avoided_workers.end(), is_ready);
  return avoided >= workers_.ready_count();
}

bool RetryPolicy::may_send(const Request& request, WorkerIndex worker, Millis now) {
  if (now < request.not_before || limits_.is_backing_off(worker, now)) return false;
  if (request.done || request.streaming || now >= request.deadline) return false;
  if (!has_attempts_left(request)) return false;
  if (!settings_.hedged_attempts && request.has_attempt_in_flight()) return false;
  if (!outliers_.is_usable(worker, now)) return false;
  if (!outliers_.serves_class(worker, request.class_index, now)) return false;
  if (!allows_worker(request, worker)) return false;
  if (!may_repeat(request, &workers_[worker], now)) return false;
  return slow_start_.has_budget(worker, times_.work(request.class_index), now);
}

void RetryPolicy::retry_or_give_up(Request& request, Millis now) {
  const bool allowed = has_attempts_left(request) && may_repeat_anywhere(request, now);
  if (!allowed || !admission_.is_worth_queueing(request, now)) return give_up(request, now);
  requests_.enqueue(request, QueueEnd::front);
}

void RetryPolicy::give_up(Request& request, Millis now) {
  if (!request.attempts.empty()) ++given_up_after_attempt_;
  if (may_repeat(request, nullptr, now)) {
    actions_.emit(action::Refuse{request.id, retry_after(request, now)});
  } else {
    actions_.emit(action::Fail{request.id});
  }
  requests_.finish(request);
}

Millis RetryPolicy::retry_after(const Request& request, Millis now) {
  if (!settings_.retry_after) return Millis(0);
  // Early enough for the latency objective, and random so that refused clients do not return all at once.
  const Millis left = (request.objective_at - now) / 2;
  if (left.count() <= 0) return settings_.max_retry_after;
  return std::min(left * (0.5 + random_.fraction()), settings_.max_retry_after);
}

Millis RetryPolicy::objective_at(int class_index, Millis time_left, Millis now) {
  const ClassSettings* settings = class_settings(settings_, class_index);
  const Millis deadline = now + time_left;
  const bool has_objective = settings != nullptr && settings->latency_objective.count() > 0;
  const Millis from_now = has_objective ? std::min(deadline, now + settings->latency_objective) : deadline;

  FirstAttemptTime& first = first_attempt_times_[class_slot(class_index)];
  const bool matches = std::abs((time_left - first.time_left).count()) <= 2 * settings_.tick.count();
  first.votes = std::min(first.votes + (matches ? kVotesPerMatch : -1), kMaxVotes);
  if (first.votes < 0) {
    first.time_left = time_left;
    first.votes = 1;
    return from_now;
  }
  if (settings == nullptr || matches) return from_now;
  return std::min(from_now, deadline - settings->deadline + settings->latency_objective);
}

}  // namespace pathstack::policy

#include "policy/outcome_recorder.h"

#include <algorithm>

namespace pathstack::policy {
namespace {

// An answer that took more than this many typical runs, slowdown included, is taken to include a load if the
// instance was known to be loaded.
constexpr double kLoadThresholdRuns = 4;
// An answer that took more than this many typical runs is taken to include a load if the instance was not
// known to be loaded.
constexpr double kLoadThresholdRunsUnconfirmed = 2.5;
constexpr double kMinLoadMs = 1;      // lower bound of a recorded load time
constexpr Millis kNearDeadline{100};  // time until the deadline in which a moot answer is plausible
constexpr int kSendsPerBackoff = 3;   // failed sends of a request before each backoff

// True if the outcome shows that data from the worker arrived, or that it refused a connection.
bool proves_contact(Outcome outcome) {
  switch (outcome) {
    case Outcome::timeout:
    case Outcome::cancelled:
    case Outcome::not_sent:
    case Outcome::unreachable: return false;
    default: return true;
  }
}

bool is_worker_response(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::full || outcome == Outcome::miss;
}

}  // namespace

OutcomeRecorder::OutcomeRecorder(const Settings& settings, WorkerTable& workers, MembershipLease& lease,
                                 FunctionTable& functions, RequestTable& requests, ServiceTimes& times,
                                 OutlierDetector& outliers, SlowStart& slow_start, LoadReports& reports,
                                 ConcurrencyLimit& limits, LoadOrderBudget& order_budget,
                                 const RetryPolicy& retries, ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      lease_(lease),
      functions_(functions),
      requests_(requests),
      times_(times),
      outliers_(outliers),
      slow_start_(slow_start),
      reports_(reports),
      limits_(limits),
      order_budget_(order_budget),
      retries_(retries),
      actions_(actions) {}

void OutcomeRecorder::note_alive(WorkerIndex worker, Millis now) {
  if (outliers_.note_alive(worker, now)) slow_start_.worker_recovered(worker, now);
}

void OutcomeRecorder::record_attempt(Request& request, const Attempt& attempt,
                                     const event::AttemptEnded& answer, Millis now) {
  const WorkerIndex worker = attempt.worker;
  Instance& instance = request.function->instance_at(worker);
  workers_.attempt_ended(worker, attempt.confirmed);
  instance.in_flight = std::max(0, instance.in_flight - 1);
  if (proves_contact(answer.outcome)) workers_.record_activity(worker, now);
  if (is_worker_response(answer.outcome)) note_alive(worker, now);
  if (answer.outcome == Outcome::not_sent) return undo_unsent_attempt(request, attempt, instance, now);
  reports_.record(worker, answer.report, now);
  apply_outcome(request, attempt, instance, answer, now);
}

// Handles an attempt that a local fault prevented from being sent: it reveals nothing about the worker and
// does not count as an attempt. The request may be sent elsewhere at once, but only a few times before it
// backs off, since the same fault is likely there too.
void OutcomeRecorder::undo_unsent_attempt(Request& request, const Attempt& attempt, Instance& instance,
                                          Millis now) {
  slow_start_.refund(attempt.worker, attempt.warm_up_cost);
  const bool assumed_for_this_attempt = !attempt.confirmed && !instance.confirmed && instance.in_flight == 0;
  if (assumed_for_this_attempt) instance.loaded = 0;
  limits_.record_local_fault(attempt.worker, now);
  if (request.attempts_not_sent % kSendsPerBackoff == 0) request.not_before = now + kLocalFaultBackoff;
}

void OutcomeRecorder::apply_outcome(Request& request, const Attempt& attempt, Instance& instance,
                                    const event::AttemptEnded& answer, Millis now) {
  const WorkerIndex worker = attempt.worker;
  switch (answer.outcome) {
    case Outcome::ok: return record_success(request, attempt, instance, answer, now);
    case Outcome::miss:
      instance.loaded = 0;
      request.function->last_attempt_missed = true;
      if (!settings_.rejects_on_miss) record_useless_answer(request, attempt, answer, now);
      return;
    case Outcome::full: lease_.work_rejected(worker, now); return limits_.record_full(worker, now);
    case Outcome::connect_failed: return outliers_.connection_failed(worker, false, now);
    case Outcome::reset:
      if (!attempt.presumed_lost) outliers_.record_lost_answers(worker, request.class_index, now);
      return outliers_.connection_failed(worker, true, now);
    case Outcome::unreachable:
      if (!attempt.presumed_lost) outliers_.record_lost_answers(worker, request.class_index, now);
      return outliers_.network_unreachable(worker, now);
    case Outcome::moot: return record_useless_answer(request, attempt, answer, now);
    case Outcome::error:
    case Outcome::timeout: return record_failure(request, attempt, answer, now);
    default: return;
  }
}

void OutcomeRecorder::record_success(const Request& request, const Attempt& attempt, Instance& instance,
                                     const event::AttemptEnded& answer, Millis now) {
  lease_.work_accepted(attempt.worker, request.function->id, attempt.sent_at);
  record_times(request, attempt, answer, now);
  outliers_.record_success(attempt.worker, request.class_index, now);
  request.function->last_attempt_missed = false;
  instance.loaded = std::max(instance.loaded, 1);
  instance.confirmed = true;
  instance.used_at = now;
  slow_start_.record_served(times_.work(request.class_index), now);
}

// Records the elapsed time as a run, as a load, or not at all. An answer that waited for a load would inflate
// R, the run time, and the slowdown if it were recorded as a run.
void OutcomeRecorder::record_times(const Request& request, const Attempt& attempt,
                                   const event::AttemptEnded& answer, Millis now) {
  FunctionTimes& function = request.function->times;
  const double elapsed = std::max(answer.elapsed.count(), 0.0);
  const bool warmth_unknown = answer.warmth == Warmth::unknown;
  const bool was_loaded =
      warmth_unknown ? !implies_load(request, attempt, elapsed, now) : answer.warmth == Warmth::warm;
  if (was_loaded) {
    times_.record_run(function, request.class_index, elapsed);
    limits_.record_slowdown(attempt.worker, elapsed / times_.unloaded_run(function), now);
    return;
  }
  const bool started_load =
      warmth_unknown ? attempt.only_in_flight && !attempt.confirmed : answer.warmth == Warmth::started_load;
  if (started_load) times_.record_load(function, std::max(elapsed - times_.run(function), kMinLoadMs));
}

bool OutcomeRecorder::implies_load(const Request& request, const Attempt& attempt, double elapsed,
                                   Millis now) const {
  const double work = times_.work(request.class_index);
  if (!attempt.confirmed) return elapsed > work * kLoadThresholdRunsUnconfirmed;
  const double slowdown = std::max(1.0, limits_.slowdown(attempt.worker, now));
  return elapsed > work * (kLoadThresholdRuns * slowdown);
}

// Handles an answer that neither finishes the request nor explains why it was not served. Close to the
// deadline of the request, `moot` is a legitimate answer and no failure.
void OutcomeRecorder::record_useless_answer(Request& request, const Attempt& attempt,
                                            const event::AttemptEnded& answer, Millis now) {
  request.avoid(attempt.worker);
  const bool is_over = answer.request_finished || request.done || request.deadline - now <= kNearDeadline;
  if (!is_over) record_failure(request, attempt, answer, now);
}

void OutcomeRecorder::record_failure(const Request& request, const Attempt& attempt,
                                     const event::AttemptEnded& answer, Millis now) {
  if (attempt.presumed_lost) return;  // was counted as a failure when it was presumed lost
  // Requests for functions that no worker knows fail everywhere, so at most one failure of each such function
  // counts.
  Function& function = *request.function;
  if (!function.times.run.known() && function.failure_counted) return;
  function.failure_counted = true;
  outliers_.record_failure(attempt.worker, request.class_index, now);
  // With many invokers, each one sends to a worker only once in several seconds, so a single error that is
  // faster than a run suffices to eject the class there.
  const bool fast = std::max(answer.elapsed.count(), 0.0) < times_.work(request.class_index);
  const bool answered =
      answer.outcome == Outcome::error || answer.outcome == Outcome::moot || answer.outcome == Outcome::miss;
  if (answered && has_many_invokers(settings_) && fast) {
    outliers_.eject_class_for_fast_error(attempt.worker, request.class_index, now);
  }
}

void OutcomeRecorder::record_order(Function& function, WorkerIndex worker, const event::LoadEnded& order,
                                   Millis now) {
  Instance& instance = function.instance_at(worker);
  if (order.outcome == Outcome::not_sent) {
    if (instance.loading > 0) order_budget_.order_not_sent(instance.load_began_at);
    functions_.end_load(instance);
    limits_.record_local_fault(worker, now);
    function.no_order_before = now + kLocalFaultBackoff;
    return;
  }
  if (instance.loading > 0) {
    functions_.end_load(instance);
    if (order.outcome == Outcome::ok) {
      times_.record_load(function.times, std::max(order.elapsed.count(), kMinLoadMs));
    }
    // Without this delay, orders that fail immediately would be sent at every sweep, to one worker after
    // another.
    if (order.instances == 0) function.no_order_before = now + kMinStallTime;
    if (order.instances > 0) function.last_attempt_missed = false;
  }
  if (order.outcome == Outcome::full) lease_.work_rejected(worker, now);
  const bool is_loaded = order.outcome == Outcome::ok && order.instances > 0;
  if (is_loaded) lease_.work_accepted(worker, function.id, now - order.elapsed);
  switch (order.outcome) {
    case Outcome::connect_failed: return outliers_.connection_failed(worker, false, now);
    case Outcome::reset: return outliers_.connection_failed(worker, true, now);
    case Outcome::unreachable: return outliers_.network_unreachable(worker, now);
    case Outcome::timeout: return;
    default: break;
  }
  instance.loaded = std::min(std::max(order.instances, 0), kMaxInstancesPerWorker);
  instance.confirmed = instance.loaded > 0;
  instance.used_at = now;
}

void OutcomeRecorder::record_probe(WorkerIndex worker, const event::ProbeEnded& probe, Millis now) {
  // A worker that answers that it drains is running and is not an outlier.
  const MembershipLease::ProbeVerdict verdict = lease_.probe_ended(worker, probe, now);
  if (verdict == MembershipLease::ProbeVerdict::unhealthy) return note_alive(worker, now);
  if (verdict == MembershipLease::ProbeVerdict::recovered) handle_new_process(worker, now);
  if (probe.outcome != Outcome::ok) return outliers_.probe_failed(worker, probe.outcome, now);
  outliers_.probe_answered(worker);
  note_alive(worker, now);
  reports_.record(worker, probe.report, now);
}

void OutcomeRecorder::record_connections_lost(WorkerIndex worker, Millis now) {
  if (lease_.is_list_current(now)) return;
  lease_.revoke(worker);
  handle_new_process(worker, now);
}

// While the list is not current, a restart that the list would have announced counts as announced, although
// this invoker cannot receive it; so the worker is treated as restarted.
void OutcomeRecorder::handle_new_process(WorkerIndex worker, Millis now) {
  functions_.clear_instances(worker);
  slow_start_.worker_recovered(worker, now);
}

void OutcomeRecorder::handle_unanswered(Millis now) {
  for (auto& [serial, request] : requests_.all()) {
    if (request.done || request.streaming || !request.has_attempt_in_flight()) continue;
    Attempt& attempt = request.attempts.back();
    if (!is_overdue(request, attempt, now)) continue;
    if (outliers_.is_silent(attempt.worker, now)) outliers_.eject(attempt.worker, now);
    if (!attempt.presumed_lost) presume_lost(request, attempt, now);
  }
}

bool OutcomeRecorder::is_overdue(const Request& request, const Attempt& attempt, Millis now) const {
  const FunctionTimes& function = request.function->times;
  // An instance that is only assumed to be loaded may still be loading; requests there are slow, not lost.
  const Millis load = attempt.confirmed ? Millis(0) : times_.load_timeout(times_.load(function));
  const double slowdown = std::max(1.0, limits_.slowdown(attempt.worker, now));
  const Millis run = times_.run_timeout(times_.unloaded_run(function) * slowdown);
  return now - attempt.sent_at > run + load;
}

void OutcomeRecorder::presume_lost(const Request& request, Attempt& attempt, Millis now) {
  attempt.presumed_lost = true;
  outliers_.record_failure(attempt.worker, request.class_index, now);
  if (!settings_.cancel || !retries_.may_repeat(request, nullptr, now)) return;
  const bool may_still_serve = outliers_.is_usable(attempt.worker, now) &&
                               outliers_.serves_class(attempt.worker, request.class_index, now);
  if (may_still_serve) return;
  actions_.emit(action::Cancel{request.id, static_cast<int>(request.attempts.size()) - 1});
}

}  // namespace pathstack::policy

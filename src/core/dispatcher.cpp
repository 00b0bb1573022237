#include "core/dispatcher.h"

#include <algorithm>
#include <utility>

namespace pathstack::core {
namespace {

// A call that the module has not ended is failed this long after its deadline, within the grace period that
// the rules allow for answers.
constexpr Millis kOverdueGrace{2};
constexpr Millis kMinAttemptTimeout{1};
// Estimated memory in bytes: of an open call without its body, of a deadline here and the timer of the module
// that goes with it, and of a reference.
constexpr std::size_t kCallBytes = 1200, kDeadlineBytes = 96, kReferenceBytes = 170;

Counter counter_for(CallStatus status) {
  switch (status) {
    case CallStatus::served: return Counter::calls_served;
    case CallStatus::refused: return Counter::calls_refused;
    case CallStatus::failed: break;
  }
  return Counter::calls_failed;
}

}  // namespace

Dispatcher::Dispatcher(const Settings& settings, Clock clock, Hosts& hosts, Counters& counters)
    : settings_(settings),
      clock_(std::move(clock)),
      hosts_(hosts),
      counters_(counters),
      module_(settings, clock_()),
      load_budget_(settings.load_window, settings.load_floor, settings.load_ratio),
      validator_(settings) {}

OpenCall* Dispatcher::find_call(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

// Null unless `attempt` is the open attempt of its call.
OpenCall* Dispatcher::find_call_by_attempt(const Attempt& attempt) {
  OpenCall* call = find_call(attempt.call);
  const bool is_open = call != nullptr && call->attempt() && call->attempt()->attempt == attempt;
  return is_open ? call : nullptr;
}

bool Dispatcher::is_valid(const Call& call) {
  const auto fault = validator_.find_fault(call);
  if (fault) counters_.add(*fault);
  return !fault;
}

bool Dispatcher::must_run_once(const std::string& class_name) const {
  bool once = true;
  for (const auto& c : settings_.classes) {
    if (c.name == class_name) once = c.semantics == pathstack::policy::Semantics::once;
  }
  return once;
}

bool Dispatcher::take(CallId id, Call&& call, Front& front) {
  if (!is_valid(call)) return false;
  if (!references_.try_add(call.ref)) {
    counters_.add(Counter::calls_ref_repeated);
    return false;
  }
  counters_.add(Counter::calls_taken);
  load_budget_.note_call(clock_());
  const bool runs_once = must_run_once(call.class_name);
  const auto added = calls_.insert_or_assign(id, OpenCall(std::move(call), front, runs_once)).first;
  const Call& taken = added->second.call();
  deadlines_.push({taken.arrived + taken.client_timeout + kOverdueGrace, id, Deadline::kCallDeadline});
  apply_steps(module_.add_call(clock_(), id, taken));
  return true;
}

void Dispatcher::abandon(CallId id) {
  if (find_call(id) == nullptr) return;
  counters_.add(Counter::calls_left);
  // The module is notified before the attempt ends: it must not retry a call that nobody waits for.
  apply_steps(module_.report(clock_(), CallAbandoned{id}));
  OpenCall* open = find_call(id);
  if (open != nullptr && open->attempt()) {
    hosts_.cancel(open->attempt()->attempt);
    report_abandoned_attempt(*open, Outcome::cancelled, true);
  }
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  references_.note_ended(found->second.call().ref, clock_());
  calls_.erase(found);
}

void Dispatcher::finish_all() {
  std::vector<CallId> ids;
  for (const auto& [id, open] : calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    counters_.add(Counter::calls_ended_unserved);
    apply_steps(module_.report(
        clock_(), CallAbandoned{id}));  // first, or the module would retry the call that is refused next
    apply(RefuseStep{id, Millis(0)});
  }
}

// Reports the end of the open attempt, which this side has cancelled; does nothing if there is none. `call`
// may have been destroyed when this returns.
void Dispatcher::report_abandoned_attempt(OpenCall& call, Outcome outcome, bool call_finished) {
  if (!call.attempt()) return;
  const OpenAttempt closed = call.close_attempt(outcome);
  const Millis now = clock_();
  AttemptOutcome end;
  end.attempt = closed.attempt;
  end.host = closed.host;
  end.outcome = outcome;
  end.call_finished = call_finished;
  end.elapsed = now - closed.sent_at;
  apply_steps(module_.report(now, end));
}

void Dispatcher::attempt_ended(const Attempt& attempt, AttemptEnd&& end) {
  OpenCall* call = find_call_by_attempt(attempt);
  if (call == nullptr) return;
  const OpenAttempt closed = call->close_attempt(end.outcome);
  const Millis now = clock_();
  const bool served = end.outcome == Outcome::ok;
  AttemptOutcome reported;
  reported.attempt = attempt;
  reported.host = closed.host;
  reported.outcome = end.outcome;
  reported.call_finished = served;
  reported.concurrent_calls = end.concurrent_calls;
  reported.elapsed = now - closed.sent_at;
  reported.report = std::move(end.report);
  // The answer is sent first, as the module's decision may take long.
  if (served) finish(attempt.call, {CallStatus::served, Millis(0), std::move(end.body)});
  apply_steps(module_.report(now, reported));
}

void Dispatcher::load_ended(LoadOutcome&& end) { apply_steps(module_.report(clock_(), end)); }
void Dispatcher::probe_ended(ProbeOutcome&& end) { apply_steps(module_.report(clock_(), end)); }
void Dispatcher::update_hosts(HostList&& list) { apply_steps(module_.report(clock_(), list)); }

void Dispatcher::host_connections_lost(const std::string& host) {
  apply_steps(module_.report(clock_(), HostConnectionsLost{host}));
}

void Dispatcher::update_list_lease(Millis until, Millis later_changes_from) {
  apply_steps(module_.report(clock_(), ListLease{until, later_changes_from}));
}

bool Dispatcher::take_load_budget() {
  if (load_budget_.take(clock_())) return true;
  counters_.add(Counter::guard_load_stopped);
  return false;
}

void Dispatcher::tick() {
  const Millis now = clock_();
  apply_steps(module_.tick(now));
  while (!deadlines_.empty() && deadlines_.top().at <= now) {
    const Deadline deadline = deadlines_.top();
    deadlines_.pop();
    if (deadline.attempt == Deadline::kCallDeadline) {
      fail_overdue_call(deadline.call);
    } else {
      time_out_attempt({deadline.call, deadline.attempt});
    }
  }
}

// The attempt may have ended before its time-out; then there is nothing to do.
void Dispatcher::time_out_attempt(const Attempt& attempt) {
  OpenCall* call = find_call_by_attempt(attempt);
  if (call == nullptr) return;
  counters_.add(Counter::attempts_timed_out);
  const bool may_have_run = hosts_.cancel(attempt);
  report_abandoned_attempt(*call, may_have_run ? Outcome::timeout : Outcome::connect_failed, false);
}

std::size_t Dispatcher::bytes_of(const Call& call) {
  return kCallBytes + call.body.capacity() + call.idempotency_key.size();
}

std::size_t Dispatcher::history_bytes() const {
  return deadlines_.size() * kDeadlineBytes + references_.size() * kReferenceBytes;
}

// The module must end every call in time; this answers a call that it did not end.
void Dispatcher::fail_overdue_call(CallId id) {
  if (find_call(id) == nullptr) return;
  counters_.add(Counter::calls_overdue);
  apply_steps(module_.report(clock_(), CallAbandoned{id}));
  if (find_call(id) != nullptr) finish(id, Answer{});
}

Millis Dispatcher::next_due() const {
  const Millis module_due = module_.next_tick();
  return deadlines_.empty() ? module_due : std::min(module_due, deadlines_.top().at);
}

void Dispatcher::apply_steps(Steps&& steps) {
  for (auto& step : steps) steps_.push_back(std::move(step));
  if (applying_steps_) return;  // the outer invocation applies them, in order
  applying_steps_ = true;
  while (!steps_.empty()) {
    const Step step = std::move(steps_.front());
    steps_.pop_front();
    std::visit([this](const auto& s) { apply(s); }, step);
  }
  applying_steps_ = false;
}

void Dispatcher::apply(const SendStep& step) {
  OpenCall* call = find_call(step.call);
  if (call == nullptr) return;
  const Attempt attempt{step.call, call->take_attempt_number()};
  const Millis now = clock_();
  const Millis time_left = call->time_left(now);
  const Millis timeout = step.timeout.count() > 0 ? std::min(step.timeout, time_left) : time_left;
  if (timeout < kMinAttemptTimeout || !call->may_send(attempt.number, settings_.max_attempts)) {
    return reject_send(step, attempt, call->attempt().has_value());
  }
  counters_.add(Counter::attempts_sent);
  call->open_attempt({attempt, step.host, now});
  deadlines_.push({now + timeout, step.call, attempt.number});
  hosts_.send_attempt(attempt, step.host, call->call(), timeout);
}

void Dispatcher::reject_send(const SendStep& step, const Attempt& attempt, bool other_attempt_open) {
  const Millis now = clock_();
  counters_.add(Counter::guard_send_stopped);
  if (!other_attempt_open) finish(step.call, Answer{});
  AttemptOutcome end;
  end.attempt = attempt;
  end.host = step.host;
  end.outcome = Outcome::moot;
  end.call_finished = !other_attempt_open;
  apply_steps(module_.report(now, end));
}

void Dispatcher::apply(const RefuseStep& step) {
  OpenCall* call = find_call(step.call);
  if (call == nullptr) return;
  if (call->attempt() && hosts_.cancel(call->attempt()->attempt)) call->note_may_have_run();
  // A refusal states that a retry is harmless. A call that may have run is answered as failed, with the same
  // retry time.
  const bool harmless = !call->may_have_run();
  finish(step.call, {harmless ? CallStatus::refused : CallStatus::failed, step.retry_after, {}});
}

void Dispatcher::apply(const FailStep& step) { finish(step.call, Answer{}); }

void Dispatcher::apply(const CancelStep& step) {
  OpenCall* call = find_call_by_attempt(step.attempt);
  if (call == nullptr) return;
  counters_.add(Counter::attempts_cancelled);
  const bool may_have_run = hosts_.cancel(step.attempt);
  report_abandoned_attempt(*call, may_have_run ? Outcome::cancelled : Outcome::moot, false);
}

void Dispatcher::apply(const LoadStep& step) {
  counters_.add(Counter::orders_sent);
  hosts_.order_load(step.host, step.function, step.instances);
}

void Dispatcher::apply(const LogStep& step) {
  if (event_log_ != nullptr) event_log_->write(step.text);
}

void Dispatcher::finish(CallId id, Answer&& answer) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  OpenCall call = std::move(found->second);
  calls_.erase(found);  // first, so that the code below finds the call ended
  references_.note_ended(call.call().ref, clock_());
  counters_.add(counter_for(answer.status));
  if (call.attempt()) hosts_.cancel(call.attempt()->attempt);
  if (answer.status != CallStatus::served) log_unserved(call, answer.status);
  call.front().answer(id, std::move(answer));
  report_abandoned_attempt(call, Outcome::cancelled, true);
}

// Logs the hosts that were tried and their outcomes, for the analysis of a client's complaint.
void Dispatcher::log_unserved(const OpenCall& call, CallStatus status) {
  if (event_log_ == nullptr) return;
  std::string attempts;
  for (const EndedAttempt& ended : call.ended_attempts()) {
    if (!attempts.empty()) attempts += ',';
    attempts += ended.host + ':' + log_name(ended.outcome);
  }
  if (call.attempt()) attempts += (attempts.empty() ? "" : ",") + call.attempt()->host + ":open";
  const Millis now = clock_();
  const auto whole_ms = [](Millis span) { return std::to_string(static_cast<std::int64_t>(span.count())); };
  event_log_->write(status == CallStatus::refused ? "call.refused" : "call.failed",
                    {{"ref", call.call().ref},
                     {"class", call.call().class_name},
                     {"age_ms", whole_ms(now - call.call().arrived)},
                     {"left_ms", whole_ms(call.time_left(now))},
                     {"attempts", attempts.empty() ? "none" : attempts}});
}

}  // namespace pathstack::core

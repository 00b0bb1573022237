#include "core/module.h"

#include <limits>
#include <optional>
#include <utility>

namespace pathstack::core {
namespace {

namespace event = pathstack::policy::event;
namespace action = pathstack::policy::action;

pathstack::policy::Event event_of(const AttemptOutcome& o) {
  event::AttemptEnded e;
  e.id = std::to_string(o.attempt.call);
  e.worker = o.host;
  e.attempt = o.attempt.number;
  e.outcome = o.outcome;
  e.concurrent_calls = o.concurrent_calls;
  e.request_finished = o.call_finished;
  e.elapsed = o.elapsed;
  e.report = o.report;
  return e;
}
pathstack::policy::Event event_of(const LoadOutcome& o) {
  return event::LoadEnded{o.host, o.function, o.outcome, o.elapsed, o.instances};
}
pathstack::policy::Event event_of(const ProbeOutcome& o) {
  return event::ProbeEnded{o.host, o.outcome, o.elapsed, o.report};
}
pathstack::policy::Event event_of(const CallAbandoned& o) {
  return event::RequestAbandoned{std::to_string(o.call)};
}
pathstack::policy::Event event_of(const HostConnectionsLost& o) { return event::ConnectionsLost{o.host}; }
pathstack::policy::Event event_of(const ListLease& o) {
  return event::ListLease{o.until, o.later_changes_from};
}
pathstack::policy::Event event_of(const HostList& o) { return event::WorkerList{o.kind, o.entries}; }

CallId call_id_of(const std::string& id) { return std::stoull(id); }  // safe: add_call created the id

// Converts an action of the module to a step; no value if the action needs none.
std::optional<Step> step_of(const action::Send& a) { return SendStep{call_id_of(a.id), a.worker, a.timeout}; }
std::optional<Step> step_of(const action::Refuse& a) { return RefuseStep{call_id_of(a.id), a.retry_after}; }
std::optional<Step> step_of(const action::Fail& a) { return FailStep{call_id_of(a.id)}; }
std::optional<Step> step_of(const action::Cancel& a) { return CancelStep{{call_id_of(a.id), a.attempt}}; }
std::optional<Step> step_of(const action::Probe& a) { return ProbeStep{a.worker}; }
std::optional<Step> step_of(const action::Load& a) { return LoadStep{a.worker, a.function, a.instances}; }
std::optional<Step> step_of(const action::Unload& a) { return UnloadStep{a.worker, a.function}; }
std::optional<Step> step_of(const action::SetTimer&) { return std::nullopt; }  // set in Module::handle
std::optional<Step> step_of(const action::Log& a) { return LogStep{a.text}; }
// An invoker process exchanges no messages with other invokers and always receives the list of hosts, so it
// ignores these two actions.
std::optional<Step> step_of(const action::SendPeerMessage&) { return std::nullopt; }
std::optional<Step> step_of(const action::RequestList&) { return std::nullopt; }

}  // namespace

Module::Module(const Settings& settings, Millis now) { handle(now, event::Start{settings}); }

Steps Module::add_call(Millis now, CallId id, const Call& call) {
  event::Request e;
  e.id = std::to_string(id);
  e.class_name = call.class_name;
  e.tenant = call.tenant;
  e.cost_hint = call.cost_hint;
  e.retry = call.retry;
  e.function = call.function;
  e.memory_mb = call.memory_mb;
  e.concurrency = call.concurrency;
  e.expires_in = call.arrived + call.client_timeout - now;
  return handle(now, e);
}

Steps Module::report(Millis now, const ModuleInput& what) {
  return handle(now, std::visit([](const auto& o) { return event_of(o); }, what));
}

Steps Module::tick(Millis now) {
  Steps all;
  // Timers that are set during this call wait for the next one; otherwise a timer of zero length would loop
  // forever.
  const std::uint64_t known = timers_set_;
  while (!timers_.empty() && timers_.top().at <= now && timers_.top().order < known) {
    const std::uint64_t token = timers_.top().token;
    timers_.pop();
    for (auto& step : handle(now, event::Timer{token})) all.push_back(std::move(step));
  }
  return all;
}

Millis Module::next_tick() const {
  return timers_.empty() ? Millis(std::numeric_limits<double>::infinity()) : timers_.top().at;
}

Steps Module::handle(Millis now, const pathstack::policy::Event& event) {
  std::vector<pathstack::policy::Action> actions;
  policy_.handle(now, event, actions);
  Steps steps;
  for (const auto& any : actions) {
    if (const auto* timer = std::get_if<action::SetTimer>(&any)) {
      timers_.push({now + timer->after, timers_set_++, timer->token});
    }
    auto step = std::visit([](const auto& a) { return step_of(a); }, any);
    if (step) steps.push_back(std::move(*step));
  }
  return steps;
}

}  // namespace pathstack::core

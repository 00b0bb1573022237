#include "policy/membership_lease.h"

#include <algorithm>
#include <string>
#include <utility>

#include "policy/drain_grace.h"

namespace pathstack::policy {
namespace {

constexpr Millis kProbeAnswerTimeout{100};  // after this time without an answer other workers are probed
constexpr Millis kProbeInterval{1000};      // between probes of a worker that does not answer
/// A drain lasts seconds; a worker that has recovered is found by a new probe.
constexpr Millis kUnhealthyWithholdTime{1000};
constexpr Millis kUnreachableWithholdTime{1000};  // after a probe that could not be delivered

}  // namespace

MembershipLease::MembershipLease(const Settings& settings, const WorkerTable& workers, ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      actions_(actions),
      duration_(lease_on_worker(settings.drain_grace, settings.probes)) {}

void MembershipLease::reset(WorkerIndex worker) {
  if (records_.size() <= worker) records_.resize(worker + 1);
  records_[worker] = Record();
}

bool MembershipLease::is_confirmed(WorkerIndex worker, Millis now) const {
  if (is_list_current(now)) return true;
  return has_lease(worker, now) && !has_rejected_work(worker);
}

bool MembershipLease::has_lease(WorkerIndex worker, Millis now) const {
  return is_list_current(now) || now - lease_start(worker) <= duration_;
}

// A worker that began to drain while the list was current has accepted nothing since. So if a
// worker accepted work sent after `until`, any drain is a later change, published from later_changes_from on.
Millis MembershipLease::lease_start(WorkerIndex worker) const {
  const Millis accepted_at = records_[worker].accepted_at;
  return accepted_at < list_.until ? accepted_at : std::max(accepted_at, list_.later_changes_from);
}

bool MembershipLease::is_candidate(WorkerIndex worker, Millis now) const {
  if (is_list_current(now)) return true;
  const Record& record = records_[worker];
  if (now < record.withheld_until) return false;
  if (!settings_.probes) return record.kept && is_confirmed(worker, now);
  if (is_confirmed(worker, now)) return true;
  const Millis unanswered_for = now - record.probe_sent_at;
  return unanswered_for <= kProbeAnswerTimeout || unanswered_for > kProbeInterval;
}

void MembershipLease::send_probe(WorkerIndex worker, Millis now) {
  Record& record = records_[worker];
  if (!settings_.probes || now - record.probe_sent_at <= kProbeInterval) return;
  record.probe_sent_at = now;
  ++probes_sent_;
  actions_.emit(action::Probe{workers_[worker].worker});
}

void MembershipLease::work_accepted(WorkerIndex worker, std::uint64_t function, Millis sent_at) {
  records_[worker].accepted_function = function;
  record_accepted(worker, sent_at);
}

void MembershipLease::record_accepted(WorkerIndex worker, Millis sent_at) {
  Record& record = records_[worker];
  record.accepted_at = std::max(record.accepted_at, sent_at);
}

MembershipLease::ProbeVerdict MembershipLease::probe_ended(WorkerIndex worker, const event::ProbeEnded& probe,
                                                           Millis now) {
  Record& record = records_[worker];
  record.probe_sent_at = kNever;
  const bool stale = !is_list_current(now);
  if (probe.outcome == Outcome::ok) {
    const bool was_unhealthy = std::exchange(record.was_unhealthy, false);
    record.withheld_until = kNever;
    record_accepted(worker, now - probe.elapsed);
    if (!stale) return ProbeVerdict::none;
    return was_unhealthy ? ProbeVerdict::recovered : ProbeVerdict::healthy;
  }
  record.accepted_at = kNever;
  if (!stale) return ProbeVerdict::none;
  if (probe.outcome == Outcome::error) return withhold_unhealthy(worker, now);
  const bool local = probe.outcome == Outcome::not_sent;
  withhold(worker, now + (local ? kLocalFaultBackoff : kUnreachableWithholdTime),
           local ? "not_sent" : "unreachable");
  return ProbeVerdict::none;
}

MembershipLease::ProbeVerdict MembershipLease::withhold_unhealthy(WorkerIndex worker, Millis now) {
  records_[worker].was_unhealthy = true;
  ++unhealthy_answers_;
  withhold(worker, now + kUnhealthyWithholdTime, "not_well");
  return ProbeVerdict::unhealthy;
}

void MembershipLease::withhold(WorkerIndex worker, Millis until, const char* reason) {
  records_[worker].withheld_until = until;
  actions_.emit(action::Log{"worker.withheld worker=" + workers_[worker].worker + " reason=" + reason});
}

std::size_t MembershipLease::withheld_count(Millis now) const {
  const auto is_withheld = [&](const Worker& worker) {
    return worker.state == WorkerState::ready && !is_candidate(worker.index, now);
  };
  const auto& all = workers_.all();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), is_withheld));
}

}  // namespace pathstack::policy

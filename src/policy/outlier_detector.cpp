#include "policy/outlier_detector.h"

#include <algorithm>
#include <utility>

#include "policy/gossip.h"

namespace pathstack::policy {
namespace {

constexpr Millis kInitialEjection{1000};    // doubles with each relapse
constexpr Millis kFastErrorEjection{4000};  // initial ejection after an error faster than a run
constexpr Millis kMaxEjection{8000};        // faults last tens of seconds
constexpr double kErrorGain = 0.4;          // for a class at one worker: two failures in a row eject it
constexpr double kClassErrorGain = 0.05;    // for a class at all workers
constexpr double kErrorThreshold = 0.5;     // rate that ejects, plus half the rate of the class
constexpr Millis kLossWindow{20};           // answers lost within this time count as one loss
constexpr int kMaxProbesLost = 3;           // lost in a row, without an answer, that mark a worker down
constexpr Millis kAliveWindow{1000};        // a worker that answered within this time is running

}  // namespace

OutlierDetector::OutlierDetector(const Settings& settings, const WorkerTable& workers,
                                 const MembershipLease& lease, const ServiceTimes& times,
                                 FunctionTable& functions, ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      lease_(lease),
      times_(times),
      functions_(functions),
      actions_(actions),
      class_error_rates_(settings.classes.size() + 1, 0.0) {}

void OutlierDetector::reset(WorkerIndex worker) {
  if (records_.size() <= worker) records_.resize(worker + 1);
  records_[worker] = Record();
  records_[worker].classes.resize(settings_.classes.size() + 1);
}

void OutlierDetector::restarted(WorkerIndex worker) {
  Record& record = records_[worker];
  record.overall = Health();
  record.classes.assign(record.classes.size(), Health());
  record.down = false;
}

bool OutlierDetector::admits(const Health& health, const Worker& worker, Millis now) {
  if (now < health.ejected_until) return false;
  return !health.half_open || worker.in_flight == 0;
}

bool OutlierDetector::is_usable(WorkerIndex index, Millis now) const {
  return lease_.is_candidate(index, now) && is_healthy(index, now);
}

bool OutlierDetector::is_healthy(WorkerIndex index, Millis now) const {
  const Worker& worker = workers_[index];
  if (worker.state != WorkerState::ready) return false;
  const Record& record = records_[index];
  if (!admits(record.overall, worker, now) || is_silent(index, now)) return false;
  return now - record.suspect_since > kMinStallTime;
}

bool OutlierDetector::serves_class(WorkerIndex index, int class_index, Millis now) const {
  return admits(records_[index].classes[class_slot(class_index)], workers_[index], now);
}

bool OutlierDetector::is_silent(WorkerIndex index, Millis now) const {
  const Worker& worker = workers_[index];
  if (worker.in_flight == 0) return false;
  const bool all_may_wait_for_loads = worker.in_flight <= worker.unconfirmed_in_flight;
  const Millis load = all_may_wait_for_loads ? times_.load_timeout(times_.mean_load()) : Millis(0);
  return now - worker.last_activity_at > times_.run_timeout(times_.mean_run()) + load;
}

bool OutlierDetector::has_answered_recently(const Record& record, Millis now) {
  return now - record.answered_at < kAliveWindow;
}

void OutlierDetector::record_outcome(WorkerIndex worker, int class_index, bool failed, Millis now) {
  Health& health = records_[worker].classes[class_slot(class_index)];
  double& class_error_rate = class_error_rates_[class_slot(class_index)];
  health.error_rate += kErrorGain * (failed - health.error_rate);
  class_error_rate += kClassErrorGain * (failed - class_error_rate);
  if (!failed && now >= health.ejected_until) health.half_open = false;
  const bool relapsed = failed && health.half_open;
  const bool fails_more_than_class = failed && health.error_rate > kErrorThreshold + class_error_rate / 2;
  if (relapsed || fails_more_than_class) eject(health, kInitialEjection, now);
}

void OutlierDetector::record_lost_answers(WorkerIndex worker, int class_index, Millis now) {
  Record& record = records_[worker];
  if (now - record.answers_lost_at <= kLossWindow) return;
  record.answers_lost_at = now;
  record_failure(worker, class_index, now);
}

void OutlierDetector::record_success(WorkerIndex worker, int class_index, Millis now) {
  record_outcome(worker, class_index, false, now);
  Health& overall = records_[worker].overall;
  if (now >= overall.ejected_until) overall.half_open = false;
}

void OutlierDetector::record_failure(WorkerIndex worker, int class_index, Millis now) {
  record_outcome(worker, class_index, true, now);
}

void OutlierDetector::eject(Health& health, Millis first, Millis now) {
  if (now < health.ejected_until) return;
  health.ejection = health.half_open ? std::min(health.ejection * 2, kMaxEjection) : first;
  health.ejected_until = now + health.ejection;
  health.half_open = true;
  health.error_rate = 0;
}

void OutlierDetector::eject(WorkerIndex worker, Millis now) {
  eject(records_[worker].overall, kInitialEjection, now);
}

void OutlierDetector::eject_class_for_fast_error(WorkerIndex worker, int class_index, Millis now) {
  eject(records_[worker].classes[class_slot(class_index)], kFastErrorEjection, now);
}

void OutlierDetector::connection_failed(WorkerIndex worker, bool reset, Millis now) {
  if (!settings_.probes || !workers_.is_ready(worker)) return mark_unreachable(worker, reset, now);
  Record& record = records_[worker];
  const bool probe_is_out = now - record.suspect_since <= kMinStallTime;
  record.suspect_by_reset = reset || (record.suspect_by_reset && probe_is_out);
  if (probe_is_out) return;
  record.probes_lost = 0;
  send_probe(worker, now);
}

void OutlierDetector::network_unreachable(WorkerIndex worker, Millis now) {
  if (settings_.probes && workers_.is_ready(worker)) return connection_failed(worker, false, now);
  eject(worker, now);
}

void OutlierDetector::send_probe(WorkerIndex worker, Millis now) {
  records_[worker].suspect_since = now;
  actions_.emit(action::Probe{workers_[worker].worker});
}

void OutlierDetector::mark_unreachable(WorkerIndex worker, bool died, Millis now) {
  if (died || !has_answered_recently(records_[worker], now)) {
    mark_down(worker);
    gossip_down(worker, now);
  }
  eject(worker, now);
}

void OutlierDetector::mark_down(WorkerIndex worker) {
  Record& record = records_[worker];
  if (!record.down) functions_.clear_instances(worker);
  record.down = true;
}

void OutlierDetector::gossip_down(WorkerIndex worker, Millis now) {
  Record& record = records_[worker];
  if (!settings_.peer_messages || settings_.invokers < 2 || now - record.gossiped_down_at < kAliveWindow)
    return;
  record.gossiped_down_at = now;
  actions_.emit(action::SendPeerMessage{std::nullopt, GossipMessage::worker_down(workers_[worker].hash)});
}

bool OutlierDetector::note_alive(WorkerIndex worker, Millis now) {
  Record& record = records_[worker];
  record.answered_at = now;
  return std::exchange(record.down, false);
}

void OutlierDetector::probe_failed(WorkerIndex worker, Outcome outcome, Millis now) {
  Record& record = records_[worker];
  const Millis probe_sent_at = std::exchange(record.suspect_since, kNever);
  const bool suspect = probe_sent_at > kNever;
  // New connections may be reset although the process runs: an answer since the probe proves that it runs.
  const bool answered_since = record.answered_at > probe_sent_at;
  if (outcome == Outcome::not_sent) {
    if (!suspect || answered_since) return;
    record.suspect_since = now;
    probes_to_repeat_.push_back({now + kLocalFaultBackoff, workers_[worker].worker});
    return;
  }
  if (suspect && outcome != Outcome::timeout) {
    if (answered_since) return;
    if (++record.probes_lost < kMaxProbesLost) return send_probe(worker, now);
    return mark_unreachable(worker, record.suspect_by_reset, now);
  }
  if (outcome == Outcome::unreachable) return network_unreachable(worker, now);
  if (has_answered_recently(record, now)) return;
  mark_down(worker);
  gossip_down(worker, now);
}

void OutlierDetector::peer_reported_down(WorkerIndex worker, Millis now) {
  Record& record = records_[worker];
  record.gossiped_down_at = now;
  if (!has_answered_recently(record, now)) mark_down(worker);
}

void OutlierDetector::repeat_probes(Millis now) {
  while (!probes_to_repeat_.empty() && now >= probes_to_repeat_.front().at) {
    const Worker* worker = workers_.find(probes_to_repeat_.front().worker);
    probes_to_repeat_.pop_front();
    if (worker == nullptr || worker->state != WorkerState::ready) continue;
    if (records_[worker->index].suspect_since > kNever) send_probe(worker->index, now);
  }
}

}  // namespace pathstack::policy

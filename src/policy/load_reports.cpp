#include "policy/load_reports.h"

#include <algorithm>

#include "policy/gossip.h"

namespace pathstack::policy {
namespace {

constexpr Millis kReportPace{1000};          // reports of a worker are refreshed about as often
constexpr Millis kGossipPaceWithProbes{60};  // as many reports come as there are workers
constexpr double kInvokersToNotify = 30;     // where answers bring reports, so many invokers notify in a pace
constexpr double kMostWaiting = 1000;
constexpr double kPeerCallsGain = 0.002;  // hundreds of invokers notify, some far busier than others
constexpr double kNoOutlier = 1e9;
constexpr double kLeastShare = 0.1;  // a nearly idle invoker knows too little of the mix to be scaled up more

}  // namespace

LoadReports::LoadReports(const Settings& settings, const WorkerTable& workers, SlowStart& slow_start,
                         ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      slow_start_(slow_start),
      actions_(actions),
      reports_queue_(
          std::count(settings.report_fields.begin(), settings.report_fields.end(), ReportField::queue) > 0) {}

void LoadReports::reset(WorkerIndex worker) {
  if (records_.size() <= worker) records_.resize(worker + 1);
  records_[worker] = Record();
}

void LoadReports::record(WorkerIndex worker, const Report& report, Millis now) {
  if (!report) return;
  Record& record = records_[worker];
  const std::size_t fields = std::min(report->size(), settings_.report_fields.size());
  for (std::size_t i = 0; i < fields; ++i) {
    const ReportField field = settings_.report_fields[i];
    const double value = (*report)[i];
    if (field == ReportField::utilisation) slow_start_.record_core_use(worker, value, now);
    // Requests in service are taken off; where there is a figure of the queue itself, it is the better one.
    const bool is_queue = field == ReportField::queue;
    if (!is_queue && (reports_queue_ || field != ReportField::inflight)) continue;
    const double waiting = value - (is_queue ? 0 : kInService);
    record.waiting = std::min(std::max(waiting, 0.0), kMostWaiting);
    record.reported_at = now;
    record.passed_on = false;
  }
}

void LoadReports::record_gossip(WorkerIndex worker, double waiting, Millis now) {
  Record& record = records_[worker];
  record.waiting = waiting;
  record.reported_at = now;
  record.peer_reported_at = now;
  record.passed_on = true;
}

void LoadReports::record_peer_calls(double calls) { peer_calls_.add(calls, kPeerCallsGain, kNoOutlier); }

void LoadReports::request_arrived(Millis now) {
  own_calls_ = 1 + own_calls(now);
  own_calls_at_ = now;
}

double LoadReports::own_calls(Millis now) const {
  return own_calls_ * decay(now, own_calls_at_, kDemandTimeConstant);
}

double LoadReports::own_share(Millis now) const {
  if (!peer_calls_.known()) return 1;
  return std::max(own_calls(now) / std::max(peer_calls_.value, 0.1), kLeastShare);
}

void LoadReports::exchange(Millis now) {
  if (!settings_.peer_messages || settings_.invokers < 2) return;
  if (learns_by_probes()) send_probes(now);
  send_gossip(now);
}

bool LoadReports::is_own_to_probe(const Worker& worker) const {
  const auto invokers = static_cast<std::uint64_t>(settings_.invokers);
  const auto rank = static_cast<std::uint64_t>(settings_.rank);
  return worker.hash % invokers == rank || (worker.hash >> 32) % invokers == rank;
}

void LoadReports::send_probes(Millis now) {
  const Millis half_pace = kReportPace / 2;
  for (const Worker& worker : workers_.all()) {
    if (!is_own_to_probe(worker) || worker.state != WorkerState::ready) continue;
    Record& record = records_[worker.index];
    if (now - std::max(record.probed_at + half_pace, record.reported_at) < half_pace) continue;
    record.probed_at = now;
    actions_.emit(action::Probe{worker.worker});
  }
}

void LoadReports::send_gossip(Millis now) {
  const Millis pace =
      learns_by_probes() ? kGossipPaceWithProbes : kReportPace * (settings_.invokers / kInvokersToNotify);
  if (now - gossiped_at_ < pace) return;
  const Millis half_pace = kReportPace / 2;
  GossipMessage message;
  message.add_own_calls(own_calls(now));
  for (const Worker& worker : workers_.all()) {
    Record& record = records_[worker.index];
    if (record.passed_on || now - record.reported_at > half_pace) continue;
    if (now - record.peer_reported_at < half_pace) continue;
    record.passed_on = true;
    if (message.has_space()) message.add_worker_load(worker.hash, record.waiting);
  }
  if (!message.tells_of_workers()) return;
  gossiped_at_ = now;
  actions_.emit(action::SendPeerMessage{std::nullopt, message.text()});
}

}  // namespace pathstack::policy

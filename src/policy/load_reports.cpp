#include "policy/load_reports.h"

#include <algorithm>

#include "policy/gossip.h"

namespace pathstack::policy {
namespace {

constexpr Millis kReportInterval{1000};  // approximate interval between reports of a worker
/// Short, since in each kReportInterval there are as many reports as workers.
constexpr Millis kGossipIntervalWithProbes{60};
/// Number of invokers that send gossip per kReportInterval where answers bring the reports.
constexpr double kNotifiersPerInterval = 30;
constexpr double kMaxWaiting = 1000;
/// Small, since hundreds of invokers report, some far busier than others.
constexpr double kPeerRequestsGain = 0.002;
constexpr double kNoOutlierLimit = 1e9;  // no limit on samples
/// Limits the scaling of demand at a nearly idle invoker, which sees too little of the request mix.
constexpr double kMinRelativeDemand = 0.1;

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
    if (field == ReportField::utilisation) slow_start_.record_utilisation(worker, value, now);
    // The queue length is preferred to the number in flight, from which the requests in service are
    // subtracted.
    const bool is_queue = field == ReportField::queue;
    if (!is_queue && (reports_queue_ || field != ReportField::inflight)) continue;
    const double waiting = value - (is_queue ? 0 : kAssumedInService);
    record.waiting = std::min(std::max(waiting, 0.0), kMaxWaiting);
    record.reported_at = now;
    record.gossiped = false;
  }
}

void LoadReports::record_gossip(WorkerIndex worker, double waiting, Millis now) {
  Record& record = records_[worker];
  record.waiting = waiting;
  record.reported_at = now;
  record.peer_reported_at = now;
  record.gossiped = true;
}

void LoadReports::record_peer_requests(double requests) {
  peer_requests_.add(requests, kPeerRequestsGain, kNoOutlierLimit);
}

void LoadReports::request_arrived(Millis now) {
  own_requests_ = 1 + own_requests(now);
  own_requests_at_ = now;
}

double LoadReports::own_requests(Millis now) const {
  return own_requests_ * decay(now, own_requests_at_, kDemandTimeConstant);
}

double LoadReports::relative_demand(Millis now) const {
  if (!peer_requests_.known()) return 1;
  return std::max(own_requests(now) / std::max(peer_requests_.value, 0.1), kMinRelativeDemand);
}

void LoadReports::exchange(Millis now) {
  if (!settings_.peer_messages || settings_.invokers < 2) return;
  if (uses_probe_reports()) send_probes(now);
  send_gossip(now);
}

bool LoadReports::is_assigned_to_probe(const Worker& worker) const {
  const auto invokers = static_cast<std::uint64_t>(settings_.invokers);
  const auto rank = static_cast<std::uint64_t>(settings_.rank);
  return worker.hash % invokers == rank || (worker.hash >> 32) % invokers == rank;
}

void LoadReports::send_probes(Millis now) {
  const Millis half_interval = kReportInterval / 2;
  for (const Worker& worker : workers_.all()) {
    if (!is_assigned_to_probe(worker) || worker.state != WorkerState::ready) continue;
    Record& record = records_[worker.index];
    if (now - std::max(record.probed_at + half_interval, record.reported_at) < half_interval) continue;
    record.probed_at = now;
    actions_.emit(action::Probe{worker.worker});
  }
}

void LoadReports::send_gossip(Millis now) {
  const Millis interval = uses_probe_reports()
                              ? kGossipIntervalWithProbes
                              : kReportInterval * (settings_.invokers / kNotifiersPerInterval);
  if (now - gossiped_at_ < interval) return;
  const Millis half_interval = kReportInterval / 2;
  GossipMessage message;
  message.add_own_requests(own_requests(now));
  for (const Worker& worker : workers_.all()) {
    Record& record = records_[worker.index];
    if (record.gossiped || now - record.reported_at > half_interval) continue;
    if (now - record.peer_reported_at < half_interval) continue;
    record.gossiped = true;
    if (message.has_space()) message.add_worker_load(worker.hash, record.waiting);
  }
  if (!message.has_worker_records()) return;
  gossiped_at_ = now;
  actions_.emit(action::SendPeerMessage{std::nullopt, message.text()});
}

}  // namespace pathstack::policy

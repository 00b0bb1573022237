#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace pathstack::policy {
namespace {

constexpr double kInitialLimit = 6;
constexpr double kMaxLimit = 64;  // no known worker serves more at once
constexpr double kLimitDecrease = 0.9;
constexpr double kMinLimit = 1;
constexpr double kMinLimitManyInvokers = 2;
constexpr Millis kBackoff{60};  // after a rejection by a worker: several service times
constexpr Millis kSlowdownTimeConstant{2000};
constexpr double kSlowdownGain = 0.3;  // large, as an invoker seldom receives answers of one worker
constexpr double kFleetSlowdownGain = 0.1;
constexpr double kRiseDivisor = 3;  // averages rise this many times slower than they fall
constexpr double kMaxSlowdown = 20;
constexpr double kOversubscribedSlowdown = 2;  // from this slowdown on, the worker's cores are oversubscribed
constexpr double kFullSlowdown = 6;            // sample for an attempt rejected as full
constexpr double kOtherZoneCost = 1.15;
constexpr double kMinWeight = 0.01;

/// Gain of a moving average for `sample`: lower for a rise, as service times vary.
double gain_for(double sample, double average, double gain) {
  return sample > average ? gain / kRiseDivisor : gain;
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Settings& settings, const WorkerTable& workers, LoadReports& reports,
                                   Random& random)
    : settings_(settings), workers_(workers), reports_(reports), random_(random) {}

void ConcurrencyLimit::reset(WorkerIndex worker) {
  if (records_.size() <= worker) records_.resize(worker + 1);
  records_[worker] = Record();
  records_[worker].limit = kInitialLimit;
}

double ConcurrencyLimit::slowdown(WorkerIndex worker, Millis now) const {
  const Record& record = records_[worker];
  const double fleet = 1 + (fleet_slowdown_ - 1) * decay(now, fleet_slowdown_at_, kSlowdownTimeConstant);
  const double fresh = decay(now, record.slowdown_at, kSlowdownTimeConstant);
  const double seen = record.slowdown * fresh + fleet * (1 - fresh);
  if (now - reports_.reported_at(worker) > kSlowdownTimeConstant) return seen;
  return std::max(1 + reports_.waiting(worker) / kAssumedInService, 1 + (seen - 1) / 2);
}

int ConcurrencyLimit::free_slots(WorkerIndex worker) const {
  const int limit = static_cast<int>(std::ceil(records_[worker].limit));
  return std::max(0, limit - workers_[worker].in_flight);
}

double ConcurrencyLimit::cost(WorkerIndex index, Millis now) const {
  const Worker& worker = workers_[index];
  const double busy =
      (worker.in_flight + 2) * std::max(1.0, slowdown(index, now)) / std::max(worker.weight, kMinWeight);
  return worker.zone == settings_.zone ? busy : busy * kOtherZoneCost;
}

void ConcurrencyLimit::record_slowdown(WorkerIndex worker, double sample, Millis now) {
  sample = std::min(std::max(sample, 0.0), kMaxSlowdown);
  Record& record = records_[worker];
  const double before = slowdown(worker, now);
  record.slowdown = before + gain_for(sample, before, kSlowdownGain) * (sample - before);
  record.slowdown_at = now;
  fleet_slowdown_at_ = now;
  adapt_limit(worker, now);
  fleet_slowdown_ += gain_for(sample, fleet_slowdown_, kFleetSlowdownGain) * (sample - fleet_slowdown_);
}

void ConcurrencyLimit::adapt_limit(WorkerIndex worker, Millis now) {
  Record& record = records_[worker];
  if (record.slowdown < kOversubscribedSlowdown) {
    const bool in_use = workers_[worker].in_flight + 2 >= record.limit;
    if (in_use) record.limit = std::min(kMaxLimit, record.limit + 1 / record.limit);
    return;
  }
  if (now - record.limit_lowered_at <= kBackoff) return;
  record.limit_lowered_at = now;
  const double min_limit = has_many_invokers(settings_) ? kMinLimitManyInvokers : kMinLimit;
  record.limit = std::max(min_limit, record.limit * kLimitDecrease);
}

void ConcurrencyLimit::record_full(WorkerIndex worker, Millis now) {
  const double invokers = 1 + settings_.invokers / kManyInvokers / 2;
  records_[worker].full_until = now + kBackoff * invokers * (0.5 + random_.fraction());
  reports_.invalidate(worker);
  record_slowdown(worker, kFullSlowdown, now);
}

void ConcurrencyLimit::record_local_fault(WorkerIndex worker, Millis now) {
  records_[worker].local_fault_until = now + kLocalFaultBackoff;
}

}  // namespace pathstack::policy

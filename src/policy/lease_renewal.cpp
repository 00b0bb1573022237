#include "policy/lease_renewal.h"

#include <algorithm>
#include <limits>
#include <string>

namespace pathstack::policy {
namespace {

/// Before a lease ends: a round trip, and a turn of the loop that comes late.
constexpr Millis kRenewalLead{40};
constexpr Millis kRenewalLeadShort{20};  // where the budget runs short
constexpr double kMostLeadShare = 0.25;  // of a short lease
constexpr Millis kOrderAnswer{50};       // an order not answered by then does not keep another one back
constexpr Millis kRateMemory{2000};
/// Requests per lease and worker: with fewer, chance leaves more gaps than the load budget can fill.
constexpr double kRequestsPerLease = 2;
constexpr double kReservedForFormer = 2;      // orders left for each kept worker before this one
constexpr double kBudgetRunsShort = 0.9;      // share of the load budget that is left
constexpr double kBudgetRunsVeryShort = 0.5;  // the same
constexpr std::size_t kMostDelayed = 4;       // requests
constexpr std::size_t kMostDelayedVeryShort = 6;
constexpr Millis kLongestDelay{500};
constexpr double kLongestDelayShare = 0.75;  // of the time to the latency objective
constexpr double kMostOrdersLogged = 999;
constexpr double kSlowRun = 1.6;  // mean runs: most answers have come by then

}  // namespace

LeaseRenewal::LeaseRenewal(const Settings& settings, const WorkerTable& workers, MembershipLease& lease,
                           FunctionTable& functions, const ServiceTimes& times,
                           const OutlierDetector& outliers, LoadOrderBudget& order_budget,
                           ActionSink& actions)
    : settings_(settings),
      workers_(workers),
      lease_(lease),
      functions_(functions),
      times_(times),
      outliers_(outliers),
      order_budget_(order_budget),
      actions_(actions) {}

void LeaseRenewal::reset(WorkerIndex worker) {
  if (records_.size() <= worker) records_.resize(worker + 1);
  records_[worker] = Record();
  kept_.erase(std::remove(kept_.begin(), kept_.end(), worker), kept_.end());
}

void LeaseRenewal::request_arrived(Millis now) {
  requests_ = 1 + requests_ * decay(now, requests_at_, kRateMemory);
  requests_at_ = now;
}

double LeaseRenewal::share_left(Millis now) const {
  const double allowed = order_budget_.limit(now);
  return allowed < std::numeric_limits<double>::infinity() ? order_budget_.remaining(now) / allowed : 1;
}

Millis LeaseRenewal::renewal_age(Millis now) const {
  const Millis lead = share_left(now) < kBudgetRunsShort ? kRenewalLeadShort : kRenewalLead;
  return lease_.length() - std::min(lead, lease_.length() * kMostLeadShare);
}

bool LeaseRenewal::is_due(Millis now) const {
  return !settings_.probes && now - lease_.list_current_until() >= renewal_age(now);
}

void LeaseRenewal::update(Millis now) {
  if (!is_due(now)) return release_all();
  drop_lost(now);
  choose(now);
  double reserved = 0;
  for (const WorkerIndex worker : kept_) {
    renew(worker, reserved, now);
    reserved += kReservedForFormer;
  }
}

// Sweeps are too far apart: an order that leaves early is one too many soon.
void LeaseRenewal::wake_at(Millis at, Millis now) {
  const bool next_sweep_does = at >= now + kSweepInterval;
  const bool is_set = now < timer_at_ && timer_at_ <= at;
  if (at <= now || next_sweep_does || is_set) return;
  timer_at_ = at;
  actions_.emit(action::SetTimer{at - now, kRenewalTimer});
}

void LeaseRenewal::release_all() {
  for (const WorkerIndex worker : kept_) lease_.keep(worker, false);
  kept_.clear();
}

void LeaseRenewal::drop_lost(Millis now) {
  const auto is_lost = [&](WorkerIndex worker) {
    if (workers_.is_ready(worker) && lease_.has_lease(worker, now)) return false;
    lease_.keep(worker, false);
    log_lost(worker, now);
    return true;
  };
  kept_.erase(std::remove_if(kept_.begin(), kept_.end(), is_lost), kept_.end());
}

// What an operator needs to see why a worker was lost: was an order sent, could one be sent?
void LeaseRenewal::log_lost(WorkerIndex worker, Millis now) const {
  const auto age = [now](Millis at) {
    return at <= kNever ? std::string("never") : std::to_string(static_cast<long>((now - at).count()));
  };
  const Record& record = records_[worker];
  const double left = std::min(order_budget_.remaining(now), kMostOrdersLogged);
  actions_.emit(action::Log{"worker.lease_lost worker=" + workers_[worker].worker +
                            " accepted_ms=" + age(lease_.accepted_at(worker)) +
                            " sent_ms=" + age(record.sent_at) + " ordered_ms=" + age(record.ordered_at) +
                            " orders_left=" + std::to_string(static_cast<int>(left)) +
                            " kept=" + std::to_string(kept_.size())});
}

std::size_t LeaseRenewal::wanted(Millis now) const {
  const double rate = requests_ * decay(now, requests_at_, kRateMemory) / kRateMemory.count();
  const double useful = std::max(0.0, lease_.length().count() - times_.mean_run());
  return std::max<std::size_t>(1, static_cast<std::size_t>(rate * useful / kRequestsPerLease));
}

bool LeaseRenewal::may_keep(WorkerIndex worker, Millis now) const {
  return lease_.has_lease(worker, now) && !lease_.is_doubted(worker) && outliers_.is_healthy(worker, now);
}

// Those that accepted something last; a kept one that is unhealthy is renewed, but counts for nothing.
void LeaseRenewal::choose(Millis now) {
  const auto is_healthy = [&](WorkerIndex worker) { return outliers_.is_healthy(worker, now); };
  auto healthy = static_cast<std::size_t>(std::count_if(kept_.begin(), kept_.end(), is_healthy));
  const std::size_t most = wanted(now);
  while (healthy < most) {
    const Worker* best = nullptr;
    for (const Worker& worker : workers_.all()) {
      if (lease_.is_kept(worker.index) || !may_keep(worker.index, now)) continue;
      const bool later =
          best == nullptr || lease_.accepted_at(worker.index) > lease_.accepted_at(best->index);
      if (later) best = &worker;
    }
    if (best == nullptr) return;
    lease_.keep(best->index, true);
    kept_.push_back(best->index);
    ++healthy;
  }
}

void LeaseRenewal::renew(WorkerIndex worker, double reserved, Millis now) {
  const Millis due = lease_.vouched_until(worker) + renewal_age(now);
  const bool is_due = lease_.is_doubted(worker) || now >= due;
  if (!is_due) wake_at(due, now);
  Record& record = records_[worker];
  if (!settings_.load_orders || !is_due || now - record.order_at <= kOrderAnswer) return;
  if (order_budget_.remaining(now) < 1 + reserved) return;
  const Function* function = standing_function(worker, now);
  if (function == nullptr) return;
  record.order_at = record.ordered_at = now;
  record.order_function = function->id;
  order_budget_.order_sent(now);
  ++orders_sent_;
  actions_.emit(action::Load{workers_[worker].worker, function->id, 1});
}

const Function* LeaseRenewal::standing_function(WorkerIndex worker, Millis now) const {
  Function* function = functions_.find(lease_.accepted_function(worker));
  if (function == nullptr) return nullptr;
  const Instance* instance = function->find_instance(worker);
  const bool stands = instance != nullptr && instance->confirmed && functions_.is_warm(*instance, now);
  return stands ? function : nullptr;
}

void LeaseRenewal::order_ended(WorkerIndex worker, const event::LoadEnded& order, Millis now) {
  Record& record = records_[worker];
  if (record.order_at <= kNever || record.order_function != order.function) return;
  if (order.outcome == Outcome::not_sent) order_budget_.order_not_sent(record.order_at);
  // It had room for what stood there.
  if (order.outcome == Outcome::full) lease_.end(worker);
  record.order_at = kNever;
  update(now);
}

bool LeaseRenewal::delays(const Request& request, std::size_t queued, Millis now) {
  if (kept_.size() != 1) return false;
  const double left = share_left(now);
  if (left >= kBudgetRunsShort) return false;
  if (queued > (left < kBudgetRunsVeryShort ? kMostDelayedVeryShort : kMostDelayed)) return false;
  const Millis to_objective = (request.objective_at - request.arrived_at) * kLongestDelayShare;
  if (now - request.arrived_at >= std::min(kLongestDelay, to_objective)) return false;
  const WorkerIndex worker = kept_.front();
  const Millis last = std::max(lease_.vouched_until(worker), records_[worker].sent_at);
  const Millis needed_at = last + renewal_age(now) - Millis(times_.mean_run() * kSlowRun);
  if (now >= needed_at) return false;
  wake_at(needed_at, now);
  return true;
}

}  // namespace pathstack::policy

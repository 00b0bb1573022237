#include "policy/lease_renewal.h"

#include <algorithm>
#include <limits>
#include <string>

namespace pathstack::policy {
namespace {

/// How long before its end a lease is renewed: covers a round trip and a late turn of the event loop.
constexpr Millis kRenewalLead{40};
constexpr Millis kShortRenewalLead{20};    // if the load budget runs low
constexpr double kMaxLeadShare = 0.25;     // of the lease duration; limits the lead of short leases
constexpr Millis kOrderAnswerTimeout{50};  // after this time a new order may be sent
constexpr Millis kRateTimeConstant{2000};
/// Requests per lease duration and kept worker. With fewer, random arrivals leave more gaps than the load
/// budget can fill.
constexpr double kRequestsPerLease = 2;
constexpr double kOrdersReservedPerWorker = 2;         // orders left for each worker earlier in kept_
constexpr double kLowBudgetShare = 0.9;                // a smaller share of the load budget left is low
constexpr double kVeryLowBudgetShare = 0.5;            // a smaller share left is very low
constexpr std::size_t kMaxDelayedRequests = 4;         // if the load budget is low
constexpr std::size_t kMaxDelayedRequestsVeryLow = 6;  // if the load budget is very low
constexpr Millis kMaxDelay{500};
constexpr double kMaxDelayShare = 0.75;  // of the time from arrival to the latency objective
constexpr double kMaxOrdersLogged = 999;
constexpr double kSlowRunFactor = 1.6;  // in mean run times, by which most answers have arrived

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
  recent_requests_ = 1 + recent_requests_ * decay(now, requests_at_, kRateTimeConstant);
  requests_at_ = now;
}

double LeaseRenewal::budget_share_left(Millis now) const {
  const double allowed = order_budget_.limit(now);
  return allowed < std::numeric_limits<double>::infinity() ? order_budget_.remaining(now) / allowed : 1;
}

Millis LeaseRenewal::renewal_age(Millis now) const {
  const Millis lead = budget_share_left(now) < kLowBudgetShare ? kShortRenewalLead : kRenewalLead;
  return lease_.duration() - std::min(lead, lease_.duration() * kMaxLeadShare);
}

bool LeaseRenewal::is_due(Millis now) const {
  return !settings_.probes && now - lease_.list_current_until() >= renewal_age(now);
}

void LeaseRenewal::update(Millis now) {
  if (!is_due(now)) return release_all();
  drop_expired(now);
  choose_kept_workers(now);
  double reserved = 0;
  for (const WorkerIndex worker : kept_) {
    renew(worker, reserved, now);
    reserved += kOrdersReservedPerWorker;
  }
}

// Sweeps are too far apart to send renewals on time, and renewals sent early would soon cost an extra order.
void LeaseRenewal::set_timer(Millis at, Millis now) {
  const bool sweep_comes_first = at >= now + kSweepInterval;
  const bool is_set = now < timer_at_ && timer_at_ <= at;
  if (at <= now || sweep_comes_first || is_set) return;
  timer_at_ = at;
  actions_.emit(action::SetTimer{at - now, kRenewalTimer});
}

void LeaseRenewal::release_all() {
  for (const WorkerIndex worker : kept_) lease_.set_kept(worker, false);
  kept_.clear();
}

void LeaseRenewal::drop_expired(Millis now) {
  const auto is_expired = [&](WorkerIndex worker) {
    if (workers_.is_ready(worker) && lease_.has_lease(worker, now)) return false;
    lease_.set_kept(worker, false);
    log_lost(worker, now);
    return true;
  };
  kept_.erase(std::remove_if(kept_.begin(), kept_.end(), is_expired), kept_.end());
}

// Logs what an operator needs to see why a lease expired: whether an order was sent, or could have been.
void LeaseRenewal::log_lost(WorkerIndex worker, Millis now) const {
  const auto age = [now](Millis at) {
    return at <= kNever ? std::string("never") : std::to_string(static_cast<long>((now - at).count()));
  };
  const Record& record = records_[worker];
  const double left = std::min(order_budget_.remaining(now), kMaxOrdersLogged);
  actions_.emit(action::Log{"worker.lease_lost worker=" + workers_[worker].worker +
                            " accepted_ms=" + age(lease_.accepted_at(worker)) +
                            " sent_ms=" + age(record.sent_at) + " ordered_ms=" + age(record.last_order_at) +
                            " orders_left=" + std::to_string(static_cast<int>(left)) +
                            " kept=" + std::to_string(kept_.size())});
}

std::size_t LeaseRenewal::target_kept_count(Millis now) const {
  const double rate =
      recent_requests_ * decay(now, requests_at_, kRateTimeConstant) / kRateTimeConstant.count();
  const double useful = std::max(0.0, lease_.duration().count() - times_.mean_run());
  return std::max<std::size_t>(1, static_cast<std::size_t>(rate * useful / kRequestsPerLease));
}

bool LeaseRenewal::may_keep(WorkerIndex worker, Millis now) const {
  return lease_.has_lease(worker, now) && !lease_.has_rejected_work(worker) &&
         outliers_.is_healthy(worker, now);
}

// Adds the workers that accepted work most recently. An unhealthy kept worker is still renewed, but does not
// count towards the target.
void LeaseRenewal::choose_kept_workers(Millis now) {
  const auto is_healthy = [&](WorkerIndex worker) { return outliers_.is_healthy(worker, now); };
  auto healthy = static_cast<std::size_t>(std::count_if(kept_.begin(), kept_.end(), is_healthy));
  const std::size_t target = target_kept_count(now);
  while (healthy < target) {
    const Worker* best = nullptr;
    for (const Worker& worker : workers_.all()) {
      if (lease_.is_kept(worker.index) || !may_keep(worker.index, now)) continue;
      const bool later =
          best == nullptr || lease_.accepted_at(worker.index) > lease_.accepted_at(best->index);
      if (later) best = &worker;
    }
    if (best == nullptr) return;
    lease_.set_kept(best->index, true);
    kept_.push_back(best->index);
    ++healthy;
  }
}

void LeaseRenewal::renew(WorkerIndex worker, double reserved, Millis now) {
  const Millis due = lease_.lease_start(worker) + renewal_age(now);
  const bool is_due = lease_.has_rejected_work(worker) || now >= due;
  if (!is_due) set_timer(due, now);
  Record& record = records_[worker];
  if (!settings_.load_orders || !is_due || now - record.pending_since <= kOrderAnswerTimeout) return;
  if (order_budget_.remaining(now) < 1 + reserved) return;
  const Function* function = loaded_function(worker, now);
  if (function == nullptr) return;
  record.pending_since = record.last_order_at = now;
  record.pending_function = function->id;
  order_budget_.order_sent(now);
  ++orders_sent_;
  actions_.emit(action::Load{workers_[worker].worker, function->id, 1});
}

const Function* LeaseRenewal::loaded_function(WorkerIndex worker, Millis now) const {
  Function* function = functions_.find(lease_.accepted_function(worker));
  if (function == nullptr) return nullptr;
  const Instance* instance = function->find_instance(worker);
  const bool is_loaded = instance != nullptr && instance->confirmed && functions_.is_warm(*instance, now);
  return is_loaded ? function : nullptr;
}

void LeaseRenewal::order_ended(WorkerIndex worker, const event::LoadEnded& order, Millis now) {
  Record& record = records_[worker];
  if (record.pending_since <= kNever || record.pending_function != order.function) return;
  if (order.outcome == Outcome::not_sent) order_budget_.order_not_sent(record.pending_since);
  // The function was loaded there and needed no more memory, so the worker is not full but drains.
  if (order.outcome == Outcome::full) lease_.revoke(worker);
  record.pending_since = kNever;
  update(now);
}

bool LeaseRenewal::should_delay(const Request& request, std::size_t queued, Millis now) {
  if (kept_.size() != 1) return false;
  const double left = budget_share_left(now);
  if (left >= kLowBudgetShare) return false;
  if (queued > (left < kVeryLowBudgetShare ? kMaxDelayedRequestsVeryLow : kMaxDelayedRequests)) return false;
  const Millis to_objective = (request.objective_at - request.arrived_at) * kMaxDelayShare;
  if (now - request.arrived_at >= std::min(kMaxDelay, to_objective)) return false;
  const WorkerIndex worker = kept_.front();
  const Millis last = std::max(lease_.lease_start(worker), records_[worker].sent_at);
  const Millis needed_at = last + renewal_age(now) - Millis(times_.mean_run() * kSlowRunFactor);
  if (now >= needed_at) return false;
  set_timer(needed_at, now);
  return true;
}

}  // namespace pathstack::policy

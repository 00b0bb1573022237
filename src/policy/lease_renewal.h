// Keeps workers in use while the membership log is out of reach and the settings allow no probes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "policy/common.h"
#include "policy/function_table.h"
#include "policy/load_order_budget.h"
#include "policy/membership_lease.h"
#include "policy/outlier_detector.h"
#include "policy/request_table.h"
#include "policy/service_times.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Token of the timer at which `LeaseRenewal::update` is due; no serial number of a request.
inline constexpr std::uint64_t kRenewalTimer = std::numeric_limits<std::uint64_t>::max();

/// Renews the leases of a few workers by load orders.
///
/// Without probes a worker whose lease has ended cannot be asked whether it drains: it is lost until the log
/// is back. Requests spread over all workers reach each one less often than a lease lasts, so that all would
/// be lost. From shortly before the lease on the list ends:
///
/// - New work goes to kept workers alone, as many as the requests of this invoker keep confirmed.
/// - The lease of a kept worker that no answer renews in time is renewed by a load order for a function that
///   stands loaded there, which the worker answers at once, or turns away if it drains.
/// - Such orders count against the load budget. Where one worker is kept and the budget runs short, the last
///   requests queued are delayed a little, so that they come when its lease needs them.
///
/// Does nothing while the list is current, nor where probes are allowed. Owned by Policy, called by Engine at
/// each event and by Scheduler. update is O(kept workers), O(workers) when one is to be chosen; the rest is
/// O(1). The derivation of what can be kept: docs/incidents/2026-12-03-outage-without-probes.md.
class LeaseRenewal {
 public:
  LeaseRenewal(const Settings& settings, const WorkerTable& workers, MembershipLease& lease,
               FunctionTable& functions, const ServiceTimes& times, const OutlierDetector& outliers,
               LoadOrderBudget& order_budget, ActionSink& actions);

  /// A new worker takes the place, or its worker was pruned.
  void reset(WorkerIndex worker);

  void request_arrived(Millis now);
  /// An attempt has left for an instance that stands loaded: its answer is likely to renew the lease.
  void attempt_sent(WorkerIndex worker, Millis now) { records_[worker].sent_at = now; }
  /// A load order has ended, whoever gave it.
  void order_ended(WorkerIndex worker, const event::LoadEnded& order, Millis now);

  /// Chooses the kept workers, and sends the orders that are due.
  void update(Millis now);

  /// The load budget is needed for renewals: functions are to be loaded by sending requests.
  bool needs_load_budget() const { return !kept_.empty() && !settings_.rejects_on_miss; }

  /// The request is to wait for a moment, as its answer will be needed to renew the lease. `queued`: all
  /// requests that are queued.
  bool should_delay(const Request& request, std::size_t queued, Millis now);

  /// Orders sent to renew a lease.
  std::size_t orders_sent() const { return orders_sent_; }
  std::size_t kept_count() const { return kept_.size(); }

 private:
  struct Record {
    Millis sent_at{kNever};     // the last attempt
    Millis order_at{kNever};    // kNever: no renewal is out
    Millis ordered_at{kNever};  // the last renewal, whether it is out or not
    std::uint64_t order_function = 0;
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  MembershipLease& lease_;
  FunctionTable& functions_;
  const ServiceTimes& times_;
  const OutlierDetector& outliers_;
  LoadOrderBudget& order_budget_;
  ActionSink& actions_;
  std::vector<Record> records_;    // by WorkerIndex
  std::vector<WorkerIndex> kept_;  // the first one is renewed first
  double recent_requests_ = 0;     // of late, decaying since requests_at_
  Millis requests_at_{kNever};
  std::size_t orders_sent_ = 0;
  Millis timer_at_{kNever};  // the last timer set

  double budget_share_left(Millis now) const;
  Millis renewal_age(Millis now) const;
  void set_timer(Millis at, Millis now);
  bool is_due(Millis now) const;
  void release_all();
  void drop_expired(Millis now);
  void log_lost(WorkerIndex worker, Millis now) const;
  void choose_kept_workers(Millis now);
  std::size_t target_kept_count(Millis now) const;
  bool may_keep(WorkerIndex worker, Millis now) const;
  void renew(WorkerIndex worker, double reserved, Millis now);
  const Function* loaded_function(WorkerIndex worker, Millis now) const;
};

}  // namespace pathstack::policy

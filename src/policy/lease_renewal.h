/// Keeps workers in use while the membership log is unreachable and the settings allow no probes.
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

/// Token of the timer at which `LeaseRenewal::update` is due; never the serial number of a request.
inline constexpr std::uint64_t kRenewalTimer = std::numeric_limits<std::uint64_t>::max();

/// Renews the leases of a few workers by load orders.
///
/// Without probes, a worker whose lease has expired cannot be checked for a drain and stays unused until the
/// log is back. Requests spread over all workers reach each one less often than a lease lasts, so the leases
/// of all workers would expire. From shortly before the lease on the list expires:
///
/// - New work goes to kept workers only: as many workers as the requests of this invoker can keep confirmed.
/// - If no answer renews the lease of a kept worker in time, a load order for a function that is loaded
///   there renews it. The worker answers such an order at once, or rejects it if it drains.
/// - These orders count against the load budget. If a single worker is kept and the budget runs low, the last
///   queued requests are delayed a little, so that their answers renew its lease when that is due.
///
/// Does nothing while the list is current, or if probes are allowed. Owned by Engine, called by Engine at
/// each event and by Scheduler. update is O(kept workers), or O(workers) when a worker has to be chosen; the
/// rest is O(1). For how many workers can be kept, see docs/incidents/2026-12-03-outage-without-probes.md.
class LeaseRenewal {
 public:
  LeaseRenewal(const Settings& settings, const WorkerTable& workers, MembershipLease& lease,
               FunctionTable& functions, const ServiceTimes& times, const OutlierDetector& outliers,
               LoadOrderBudget& order_budget, ActionSink& actions);

  /// Clears the state at the index: a new worker has it, or its worker was pruned.
  void reset(WorkerIndex worker);

  void request_arrived(Millis now);
  /// An attempt was sent to a loaded instance, so its answer is likely to renew the lease.
  void attempt_sent(WorkerIndex worker, Millis now) { records_[worker].sent_at = now; }
  /// Handles the end of any load order, also of one that another part sent.
  void order_ended(WorkerIndex worker, const event::LoadEnded& order, Millis now);

  /// Chooses the kept workers and sends the load orders that are due.
  void update(Millis now);

  /// True if the load budget is reserved for renewals, so that functions must be loaded by sending requests.
  bool needs_load_budget() const { return !kept_.empty() && !settings_.rejects_on_miss; }

  /// True if the request should wait, since its answer will be needed to renew the lease. `queued`: number of
  /// all queued requests.
  bool should_delay(const Request& request, std::size_t queued, Millis now);

  /// Number of load orders sent to renew a lease.
  std::size_t orders_sent() const { return orders_sent_; }
  std::size_t kept_count() const { return kept_.size(); }

 private:
  struct Record {
    Millis sent_at{kNever};        // of the last attempt
    Millis pending_since{kNever};  // of the renewal in flight; kNever: none
    Millis last_order_at{kNever};  // of the last renewal, ended or not
    std::uint64_t pending_function = 0;
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
  std::vector<WorkerIndex> kept_;  // in order of renewal
  double recent_requests_ = 0;     // decaying count as of requests_at_
  Millis requests_at_{kNever};
  std::size_t orders_sent_ = 0;
  Millis timer_at_{kNever};  // when the last timer set fires

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

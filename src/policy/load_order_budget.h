/// Limits the rate of load orders to what the platform allows.
#pragma once

#include <deque>

#include "policy/common.h"

namespace pathstack::policy {

/// The platform's rule 5: within any window, the number of load orders, including the next one, is at most
/// `Settings::load_floor` plus `Settings::load_ratio` for each request received in that window. Orders count
/// from the time of the decision; src/core/load_budget.h enforces the same rule from the time of writing to
/// the connection.
///
/// Owned by Engine, queried by Scheduler and LeaseRenewal. Amortised O(1); stores the request and order times
/// of one window.
class LoadOrderBudget {
 public:
  explicit LoadOrderBudget(const Settings& settings) : settings_(settings) {}

  void request_arrived(Millis now);
  bool allows_order(Millis now) { return remaining(now) >= 1; }
  /// Number of orders allowed in the current window; infinite if there is no limit.
  double limit(Millis now);
  /// `limit` minus the orders already sent in the current window.
  double remaining(Millis now);
  void order_sent(Millis now);
  /// The order sent at `sent_at` failed locally before it left this machine and no longer counts.
  void order_not_sent(Millis sent_at);

 private:
  const Settings& settings_;
  std::deque<Millis> requests_;
  std::deque<Millis> orders_;

  bool is_limited() const { return settings_.load_window.count() > 0; }
  void expire_requests(Millis now);
};

}  // namespace pathstack::policy

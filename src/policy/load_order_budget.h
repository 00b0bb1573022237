// How many load orders the platform allows.
#pragma once

#include <deque>

#include "policy/common.h"

namespace pathstack::policy {

/// The platform's rule 5: orders within the window, the next one included, number at most a floor plus a
/// ratio of the requests taken in that window. Kept by the time of decisions; src/core/load_budget.h keeps it
/// once more by the time of writing.
///
/// Owned by Policy, asked by Scheduler. Amortised O(1); holds the times of one window.
class LoadOrderBudget {
 public:
  explicit LoadOrderBudget(const Settings& settings) : settings_(settings) {}

  void request_arrived(Millis now);
  bool allows_order(Millis now) { return remaining(now) >= 1; }
  /// Orders allowed within the window; infinite where there is no limit.
  double limit(Millis now);
  /// Of these, what is left.
  double remaining(Millis now);
  void order_sent(Millis now);
  /// The order of this time did not leave: it counts for nothing.
  void order_not_sent(Millis sent_at);

 private:
  const Settings& settings_;
  std::deque<Millis> requests_;
  std::deque<Millis> orders_;

  bool is_limited() const { return settings_.load_window.count() > 0; }
  void expire_requests(Millis now);
};

}  // namespace pathstack::policy

/// The limit on load orders that an invoker sends.
#pragma once

#include <deque>

#include "core/types.h"

namespace pathstack::core {

/// The load budget of the settings (rule 5): within any window an invoker writes at most `floor` load orders,
/// plus `ratio` load orders for each call taken in that window.
///
/// The decision module applies the same budget at the time of its decisions. An order that waits for a
/// connection is written later, when some calls may have left the window; this class counts orders at the
/// time of writing. Memory: one timestamp for each call and order in the window. Cost: amortised constant.
class LoadBudget {
 public:
  /// A `window` of zero means no limit.
  LoadBudget(Millis window, double floor, double ratio) : window_(window), floor_(floor), ratio_(ratio) {}

  /// Records that a call was taken at `now`. `now` must not decrease between calls of this class.
  void note_call(Millis now) {
    if (window_.count() <= 0) return;
    expire(now);
    calls_.push_back(now);
  }

  /// Returns true and counts the order if an order may be written at `now`.
  bool take(Millis now) {
    if (window_.count() <= 0) return true;
    expire(now);
    const double allowed = floor_ + ratio_ * static_cast<double>(calls_.size());
    if (static_cast<double>(orders_.size()) + 1 > allowed) return false;
    orders_.push_back(now);
    return true;
  }

 private:
  Millis window_;
  double floor_, ratio_;
  std::deque<Millis> calls_, orders_;  // timestamps, oldest first

  void expire(Millis now) {
    while (!calls_.empty() && now - calls_.front() >= window_) calls_.pop_front();
    while (!orders_.empty() && now - orders_.front() > window_) orders_.pop_front();
  }
};

}  // namespace pathstack::core

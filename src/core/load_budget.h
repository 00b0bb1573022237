/// How many load orders an invoker may still write.
#pragma once

#include <deque>

#include "core/types.h"

namespace pathstack::core {

/// The load budget of the settings (rule 5): within any window an invoker writes at most `floor` load orders
/// plus `ratio` for each call that it took in that window.
///
/// The decision module keeps the same budget by the time of its decisions. An order that waits for its
/// connection is written later, when calls may have left the window; this one counts by the time of writing.
/// Memory: one time for each call and order of the window. Cost: amortised constant.
class LoadBudget {
 public:
  /// A window of zero means no limit.
  LoadBudget(Millis window, double floor, double ratio) : window_(window), floor_(floor), ratio_(ratio) {}

  /// A call was taken at `now`, which must not decrease.
  void note_call(Millis now) {
    if (window_.count() <= 0) return;
    expire(now);
    calls_.push_back(now);
  }

  /// True, and counted, if an order may be written at `now`.
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
  std::deque<Millis> calls_, orders_;  // times, oldest first

  void expire(Millis now) {
    while (!calls_.empty() && now - calls_.front() >= window_) calls_.pop_front();
    while (!orders_.empty() && now - orders_.front() > window_) orders_.pop_front();
  }
};

}  // namespace pathstack::core

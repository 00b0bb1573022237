// How long the list of hosts may be relied on.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::feed {

/// The time from which on changes of the list that were not received may count as told.
///
/// The platform counts a change as told once it is in the membership log, whether this invoker is connected
/// or not. It allows for outages: after a stop or a move of the log 4 s, but no longer than until the invoker
/// asks again. A stop cannot be seen; it may have begun right behind the last line. So each line that shows
/// that nothing is missing renews the lease, and nothing else does. A break ends it at once, as an event that
/// was told and lost on its way may count from when it was written; but what the log is given after the break
/// counts as told 2 s after it, or when the log is asked again. Knows no clock; every call is O(1).
class ListLease {
 public:
  /// The platform's clocks.
  static constexpr core::Millis kStopAllowance{4000}, kMoveAllowance{4000}, kBreakAllowance{2000};
  /// Allowance for the way of a line or a signal to this invoker, by which it is older than its arrival.
  static constexpr core::Millis kTransitAllowance{250};

  /// Before the first line nothing says how old the list of the configuration is.
  explicit ListLease(core::Millis now) : until_(now), later_changes_from_(now) {}

  core::Millis until() const { return until_; }
  /// No change that was written after `until` counts as told before then; at least `until`.
  core::Millis later_changes_from() const { return later_changes_from_; }

  /// A line showed that no event before it is missing; it arrived at `at` or later.
  void confirmed(core::Millis at) {
    request_pending_ = false;
    until_ = std::max(until_, at + kStopAllowance - kTransitAllowance);
    later_changes_from_ = until_;
  }
  /// An event arrived on a connection that was up to date: what is behind it follows at once.
  void event_received(core::Millis at) {
    if (!request_pending_) confirmed(at);
  }
  /// The question for all later events has left: they count as told now.
  void events_requested(core::Millis now) {
    request_pending_ = true;
    shorten(now, now);
  }
  /// The log has events that this invoker does not have.
  void fell_behind(core::Millis now) { events_requested(now); }
  void connection_lost(core::Millis now) { shorten(now, now + kBreakAllowance - kTransitAllowance); }
  void log_moved(core::Millis now) {
    const core::Millis until = now + kMoveAllowance - kTransitAllowance;
    shorten(until, until);
  }

 private:
  core::Millis until_, later_changes_from_;
  bool request_pending_ = true;  // and not answered to the end

  void shorten(core::Millis until, core::Millis later_changes_from) {
    until_ = std::min(until_, until);
    later_changes_from_ = std::max(until_, std::min(later_changes_from_, later_changes_from));
  }
};

}  // namespace pathstack::feed

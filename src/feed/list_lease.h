/// Lease on the host list: until when the list may be used without confirmation by the membership log.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::feed {

/// Computes from when on the platform may count unreceived changes of the host list as delivered.
///
/// The platform counts a change as delivered once it is in the membership log, whether or not this invoker is
/// connected. It makes an allowance for outages: 4 s after the log has stopped or moved, but only until the
/// invoker requests events again.
///
/// - A stop of the log cannot be observed, and may have begun right after the last line. So the lease is
///   renewed by each line that shows that no event is missing, and by nothing else.
/// - A lost connection ends the lease at once, as an event lost in transit may count from its writing on. A
///   change that is written after the loss counts as delivered 2 s after the loss, or once the invoker
///   requests events again.
///
/// The caller passes the time; every call is O(1).
class ListLease {
 public:
  /// The allowances of the platform for a log that stops, moves or loses the connection.
  static constexpr core::Millis kStopAllowance{4000}, kMoveAllowance{4000}, kBreakAllowance{2000};
  /// Allowance for the time that a line or a signal takes to reach this invoker.
  static constexpr core::Millis kTransitAllowance{250};

  /// The lease begins expired, as the age of the configured list is unknown until the first line.
  explicit ListLease(core::Millis now) : until_(now), later_changes_from_(now) {}

  /// The end of the lease.
  core::Millis until() const { return until_; }
  /// No change that is written after `until` counts as delivered before this time, which is at least `until`.
  core::Millis later_changes_from() const { return later_changes_from_; }

  /// A line, which arrived at `at` or later, showed that no event before it is missing.
  void confirmed(core::Millis at) {
    request_pending_ = false;
    until_ = std::max(until_, at + kStopAllowance - kTransitAllowance);
    later_changes_from_ = until_;
  }
  /// An event arrived at `at` or later. Renews the lease only if the last request was answered in full, as
  /// further events may be in transit before that.
  void event_received(core::Millis at) {
    if (!request_pending_) confirmed(at);
  }
  /// A request for all later events was sent: these events count as delivered now.
  void events_requested(core::Millis now) {
    request_pending_ = true;
    shorten(now, now);
  }
  /// The log has events that this invoker lacks.
  void fell_behind(core::Millis now) { events_requested(now); }
  void connection_lost(core::Millis now) { shorten(now, now + kBreakAllowance - kTransitAllowance); }
  void log_moved(core::Millis now) {
    const core::Millis until = now + kMoveAllowance - kTransitAllowance;
    shorten(until, until);
  }

 private:
  core::Millis until_, later_changes_from_;
  bool request_pending_ = true;  // a request was not yet answered in full

  void shorten(core::Millis until, core::Millis later_changes_from) {
    until_ = std::min(until_, until);
    later_changes_from_ = std::max(until_, std::min(later_changes_from_, later_changes_from));
  }
};

}  // namespace pathstack::feed

/// Timeouts after which a connection to the membership log counts as stale.
#pragma once

#include <algorithm>

#include "core/types.h"
#include "feed/timeouts.h"

namespace pathstack::feed {

/// Adaptive staleness timeouts. A fixed timeout that is too short for a log under load would expire on each
/// connection, and the host list would never be read. So each timeout that expires doubles the next one, up
/// to a bound. Shared by successive connections; every call is O(1).
class StalenessTimeout {
 public:
  explicit StalenessTimeout(const Timeouts& timeouts)
      : timeouts_(timeouts), silence_(timeouts.silence_initial), line_(timeouts.line_initial) {}

  /// Longest time without any byte.
  core::Millis silence() const { return silence_; }
  /// Longest time without a complete line.
  core::Millis line() const { return line_; }

  void silence_expired() { silence_ = std::min(silence_ * 2, timeouts_.silence_max); }
  void line_expired() { line_ = std::min(line_ * 2, timeouts_.line_max); }

  /// A valid line was received.
  void line_received() { silence_ = timeouts_.silence_initial; }
  /// A new event with a host list was received. Must not be called for a repeated event or a sequence number:
  /// these may precede the long list on each connection.
  void update_received() { line_ = timeouts_.line_initial; }

 private:
  Timeouts timeouts_;
  core::Millis silence_, line_;
};

}  // namespace pathstack::feed

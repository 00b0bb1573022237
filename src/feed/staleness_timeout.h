// When a connection to the membership log counts as stale.
#pragma once

#include <algorithm>

#include "core/types.h"
#include "feed/timeouts.h"

namespace pathstack::feed {

/// The time that a connection to the membership log is given before it counts as stale. A timeout that is too
/// short for a log under load would be so on each connection, and its list would never be read: each one that
/// expires doubles the next, up to its bound. Kept across connections; every call is O(1).
class StalenessTimeout {
 public:
  explicit StalenessTimeout(const Timeouts& timeouts)
      : timeouts_(timeouts), silence_(timeouts.silence_initial), line_(timeouts.line_initial) {}

  /// The longest time without a byte.
  core::Millis silence() const { return silence_; }
  /// The longest time without a complete line, while bytes arrive.
  core::Millis line() const { return line_; }

  void silence_expired() { silence_ = std::min(silence_ * 2, timeouts_.silence_max); }
  void line_expired() { line_ = std::min(line_ * 2, timeouts_.line_max); }

  /// A line was received and understood.
  void line_received() { silence_ = timeouts_.silence_initial; }
  /// Not for a repeated event or a number: these may precede the list that takes long, on each connection.
  void update_received() { line_ = timeouts_.line_initial; }

 private:
  Timeouts timeouts_;
  core::Millis silence_, line_;
};

}  // namespace pathstack::feed

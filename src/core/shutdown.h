/// The times of a graceful shutdown: from SIGTERM to the last moment before SIGKILL.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::core {

/// Says what an invoker that shuts down still does at a time. Knows no clock; every call is O(1). Before
/// `begin` everything goes on.
class Shutdown {
 public:
  /// `longest_deadline` is the longest of all classes.
  explicit Shutdown(Millis longest_deadline)
      : answers_for_(std::min(longest_deadline, kLongestCounted) + kBeforeKill) {}

  /// SIGTERM came at `now`; a second one gives no more time.
  void begin(Millis now) {
    if (!begun_) began_at_ = now;
    begun_ = true;
  }
  bool begun() const { return begun_; }
  /// True while new connections may still come.
  bool listens(Millis now) const { return !past(now, kListenFor); }
  /// True while new requests may still come.
  bool requests_come(Millis now) const { return !past(now, kRequestsFor); }
  /// True once SIGKILL is near: what is open gets its final answer now, or never.
  bool answers_due(Millis now) const { return past(now, answers_for_); }
  /// When to stop waiting for clients to close their connections, if all is answered by `now`.
  Millis linger_until(Millis now) const {
    return std::min(now, began_at_ + answers_for_ + kToWrite) + kToLinger;
  }
  /// True once there is no time left for anything but the exit.
  bool over(Millis now) const { return past(now, answers_for_ + kToWrite); }

 private:
  // SIGKILL comes no sooner than 0.7 s past the longest deadline, which counts as 3 s where it is longer.
  static constexpr Millis kLongestCounted{3000};
  static constexpr Millis kBeforeKill{500};
  static constexpr Millis kToWrite{50};
  // For clients to close their connections. The rest, 80 ms, is for the exit.
  static constexpr Millis kToLinger{70};
  // Connections come for at most 0.4 s, requests for 0.2 s more.
  static constexpr Millis kListenFor{500};
  static constexpr Millis kRequestsFor{800};

  bool begun_ = false;
  Millis began_at_{0};
  Millis answers_for_;

  bool past(Millis now, Millis span) const { return begun_ && now - began_at_ > span; }
};

}  // namespace pathstack::core

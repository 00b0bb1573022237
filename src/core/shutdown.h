// The times of a graceful shutdown: from SIGTERM to the last moment before SIGKILL. It knows no clock of its
// own.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::core {

class Shutdown {
 public:
  explicit Shutdown(Millis longest_deadline)
      : answers_for_(std::min(longest_deadline, kLongestCounted) + kBeforeKill) {}

  void begin(Millis now) {
    if (!begun_) began_ = now;
    begun_ = true;
  }
  bool begun() const { return begun_; }
  bool listens(Millis now) const { return !past(now, kListenFor); }
  bool requests_come(Millis now) const { return !past(now, kRequestsFor); }
  // SIGKILL is near: what is open gets its final answer now, or never.
  bool answers_due(Millis now) const { return past(now, answers_for_); }
  // When to stop waiting for clients to close their connections, if all is answered by `now`.
  Millis linger_until(Millis now) const {
    return std::min(now, began_ + answers_for_ + kToWrite) + kToLinger;
  }
  bool over(Millis now) const { return past(now, answers_for_ + kToWrite); }

 private:
  // SIGKILL comes no sooner than 0.7 s past the longest deadline, which counts as 3 s where it is longer.
  static constexpr Millis kLongestCounted{3000}, kBeforeKill{500}, kToWrite{50};
  // For clients to close their connections. The rest, 80 ms, is for the exit.
  static constexpr Millis kToLinger{70};
  // Connections come for at most 0.4 s, requests for 0.2 s more.
  static constexpr Millis kListenFor{500}, kRequestsFor{800};

  bool begun_ = false;
  Millis began_{0}, answers_for_;

  bool past(Millis now, Millis span) const { return begun_ && now - began_ > span; }
};

}  // namespace pathstack::core

/// How long a failure to begin a connection is kept back when the fault is this machine's.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Exponential backoff on local faults (no descriptor, no port, no route): reported at once, a lasting one
/// would cost a call thousands of attempts in place of some tens. Knows no clock; every call is O(1).
class LocalFaultBackoff {
 public:
  /// Returns how long to wait after a fault at `now`. Doubles from 4 to 64 ms while no connection can be
  /// begun, once for all the faults that fall into one wait.
  Millis next(Millis now) {
    if (delay_.count() == 0 || now >= delay_end_) {
      delay_ = std::clamp(delay_ * 2, kMinDelay, kMaxDelay);
      delay_end_ = now + delay_;
    }
    return delay_;
  }

  /// A connection was begun.
  void reset() { delay_ = Millis(0); }

 private:
  static constexpr Millis kMinDelay{4};
  static constexpr Millis kMaxDelay{64};
  Millis delay_{0};      // 0: a connection was begun since the latest fault
  Millis delay_end_{0};  // until when faults are kept back for as long
};

}  // namespace pathstack::hosts

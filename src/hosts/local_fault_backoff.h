/// Delays reports of connection failures that are due to a fault of this machine.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Exponential backoff on local faults (no descriptor, no port, no route). Without the delay, a lasting fault
/// would cost a call thousands of attempts instead of some tens. Uses no clock; every call is O(1).
class LocalFaultBackoff {
 public:
  /// Returns the delay of the report of a fault at `now`. The delay doubles from 4 to 64 ms until a connect
  /// is started; all faults within one delay share it.
  Millis next(Millis now) {
    if (delay_.count() == 0 || now >= delay_end_) {
      delay_ = std::clamp(delay_ * 2, kMinDelay, kMaxDelay);
      delay_end_ = now + delay_;
    }
    return delay_;
  }

  /// Resets the delay, as a connect was started.
  void reset() { delay_ = Millis(0); }

 private:
  static constexpr Millis kMinDelay{4};
  static constexpr Millis kMaxDelay{64};
  Millis delay_{0};      // 0 if a connect was started since the latest fault
  Millis delay_end_{0};  // until when faults share `delay_`
};

}  // namespace pathstack::hosts

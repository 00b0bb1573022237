/// Backoff between connection attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/types.h"

namespace pathstack::feed {

/// Exponential backoff with equal jitter: half of each delay is fixed and half is random, so that invokers
/// that lost the same log at once do not reconnect at once. Equal seeds give equal delays.
class Backoff {
 public:
  Backoff(core::Millis initial, core::Millis max, std::uint64_t seed)
      : initial_(initial), max_(max), ceiling_(initial), random_(seed) {}

  /// Returns the next delay, between half and all of a ceiling that doubles from `initial` up to `max`.
  core::Millis next() {
    const core::Millis half = ceiling_ / 2;
    ceiling_ = std::min(ceiling_ * 2, max_);
    return half + half * fraction();
  }

  /// Sets the ceiling back to `initial`.
  void reset() { ceiling_ = initial_; }

 private:
  core::Millis initial_, max_, ceiling_;
  std::mt19937_64 random_;

  // Returns a number in [0, 1). Not a standard distribution, as those differ between standard libraries.
  double fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
};

}  // namespace pathstack::feed

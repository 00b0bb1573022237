// Pauses between connections.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/types.h"

namespace pathstack::feed {

/// Exponential backoff with equal jitter: half of each pause is fixed, half is random, so that the invokers
/// that lost one log together don't come back together. The same seed gives the same pauses.
class Backoff {
 public:
  Backoff(core::Millis initial, core::Millis max, std::uint64_t seed)
      : initial_(initial), max_(max), ceiling_(initial), random_(seed) {}

  /// The next pause: between half and all of a ceiling that doubles from `initial` up to `max`.
  core::Millis next() {
    const core::Millis half = ceiling_ / 2;
    ceiling_ = std::min(ceiling_ * 2, max_);
    return half + half * fraction();
  }

  /// The next ceiling is `initial` again.
  void reset() { ceiling_ = initial_; }

 private:
  core::Millis initial_, max_, ceiling_;
  std::mt19937_64 random_;

  // At least 0, below 1. Written out, as the standard's distributions differ between libraries.
  double fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
};

}  // namespace pathstack::feed

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
  Backoff(core::Millis first, core::Millis most, std::uint64_t seed)
      : first_(first), most_(most), ceiling_(first), random_(seed) {}

  /// The next pause: between half and all of a ceiling that doubles from `first` up to `most`.
  core::Millis next() {
    const core::Millis half = ceiling_ / 2;
    ceiling_ = std::min(ceiling_ * 2, most_);
    return half + half * fraction();
  }

  /// The next ceiling is `first` again.
  void reset() { ceiling_ = first_; }

 private:
  core::Millis first_, most_, ceiling_;
  std::mt19937_64 random_;

  // At least 0, below 1. Written out, as the standard's distributions differ between libraries.
  double fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
};

}  // namespace pathstack::feed

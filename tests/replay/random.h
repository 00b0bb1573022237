/// Random numbers that are the same with every standard library: they use the standard engine without the
/// distributions, whose results vary between libraries.
#pragma once

#include <cstdint>
#include <random>

namespace pathstack::policy::replay {

/// A seeded source of random numbers.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// An integer from 0 to `limit` - 1; `limit` must be positive.
  std::int64_t below(std::int64_t limit) {
    return static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(limit));
  }
  /// An integer from `min` to `max`, both included.
  std::int64_t between(std::int64_t min, std::int64_t max) { return min + below(max - min + 1); }
  /// True with a probability of `share` per thousand.
  bool permille(int share) { return below(1000) < share; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace pathstack::policy::replay

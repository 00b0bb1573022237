// Random numbers that are the same with every standard library: the engine alone, without distributions.
#pragma once

#include <cstdint>
#include <random>

namespace pathstack::policy::replay {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A whole number from 0 to `limit` - 1; `limit` is above 0.
  std::int64_t below(std::int64_t limit) {
    return static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(limit));
  }
  std::int64_t between(std::int64_t min, std::int64_t max) { return min + below(max - min + 1); }
  bool permille(int share) { return below(1000) < share; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace pathstack::policy::replay

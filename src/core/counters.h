// Counts of what the program takes in, sends and answers.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/counter.h"

namespace pathstack::core {

/// The values of all counters since the start of the program. Used on the loop's thread only.
class Counters {
 public:
  void add(Counter counter, std::uint64_t amount = 1) { values_.at(index(counter)) += amount; }
  std::uint64_t value(Counter counter) const { return values_.at(index(counter)); }

  /// All counters that are not 0, a line each. Cost: the number of counters.
  std::vector<std::string> lines() const;

  /// One line with what was counted since the last call, then the figures of the decision module: their
  /// growth since the last call, or as they are for names that begin with "now.". Empty if nothing was
  /// counted.
  std::string status(const std::map<std::string, double>& module_statistics);

 private:
  std::array<std::uint64_t, kCounterCount> values_{}, reported_{};
  std::map<std::string, double> reported_statistics_;

  static std::size_t index(Counter counter) { return static_cast<std::size_t>(counter); }
};

}  // namespace pathstack::core

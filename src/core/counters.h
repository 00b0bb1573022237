/// The values of the program's counters and their output in the log.
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
  /// Adds `amount` to `counter`. Cost: constant.
  void add(Counter counter, std::uint64_t amount = 1) { values_.at(index(counter)) += amount; }
  /// Returns the value of `counter` since the start of the program.
  std::uint64_t value(Counter counter) const { return values_.at(index(counter)); }

  /// Returns a line `NAME VALUE` for each counter that is not 0. Cost: linear in the number of counters.
  std::vector<std::string> lines() const;

  /// Returns a line with the growth of each counter since the previous call, followed by the statistics of
  /// the decision module: their growth since the previous call, or the value itself for names that begin
  /// with "now.". Empty if no counter has grown.
  std::string status(const std::map<std::string, double>& module_statistics);

 private:
  std::array<std::uint64_t, kCounterCount> values_{}, reported_{};
  std::map<std::string, double> reported_statistics_;

  static std::size_t index(Counter counter) { return static_cast<std::size_t>(counter); }
};

}  // namespace pathstack::core

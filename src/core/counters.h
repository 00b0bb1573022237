// Counts of what the program takes in, sends and answers, by name.
#pragma once

#include <cstdint>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace pathstack::core {

class Counters {
 public:
  void add(const std::string& name, std::uint64_t more = 1) { values_[name] += more; }
  std::uint64_t value(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
  }
  /// All counters, one a line.
  std::vector<std::string> lines() const {
    std::vector<std::string> out;
    for (const auto& [name, value] : values_) out.push_back(name + ' ' + std::to_string(value));
    return out;
  }
  // One line: what was counted since the last such line, then the module's tally (figures "now." as they
  // are). Nothing if nothing was counted.
  std::string status(const std::map<std::string, double>& tally) {
    std::ostringstream line;
    for (const auto& [name, value] : values_) {
      const auto more = value - std::exchange(told_[name], value);
      if (more > 0) line << ' ' << name << '=' << more;
    }
    if (line.tellp() == std::streampos(0)) return {};
    line << std::setprecision(4);
    for (const auto& [name, value] : tally) {
      const bool as_it_is = name.compare(0, 4, "now.") == 0;
      const double more = as_it_is ? value : value - std::exchange(told_tally_[name], value);
      if (more > 0) line << ' ' << name << '=' << more;
    }
    return "status" + line.str();
  }

 private:
  std::map<std::string, std::uint64_t> told_;
  std::map<std::string, double> told_tally_;
  std::map<std::string, std::uint64_t> values_;
};

}  // namespace pathstack::core

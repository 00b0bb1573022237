#include "core/counters.h"

#include <iomanip>
#include <sstream>
#include <string_view>
#include <utility>

namespace pathstack::core {
namespace {

constexpr std::string_view kGaugePrefix = "now.";  // prefix of statistics that are present values, not counts
constexpr int kStatisticDigits = 4;

}  // namespace

std::vector<std::string> Counters::lines() const {
  std::vector<std::string> out;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    if (values_.at(i) == 0) continue;
    const CounterInfo& info = counter_info(static_cast<Counter>(i));
    out.push_back(std::string(info.name) + ' ' + std::to_string(values_.at(i)));
  }
  return out;
}

std::string Counters::status(const std::map<std::string, double>& module_statistics) {
  std::ostringstream line;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const std::uint64_t amount = values_.at(i) - std::exchange(reported_.at(i), values_.at(i));
    if (amount > 0) line << ' ' << counter_info(static_cast<Counter>(i)).name << '=' << amount;
  }
  if (line.tellp() == std::streampos(0)) return {};
  line << std::setprecision(kStatisticDigits);
  for (const auto& [name, value] : module_statistics) {
    const bool is_gauge = name.compare(0, kGaugePrefix.size(), kGaugePrefix) == 0;
    const double shown = is_gauge ? value : value - std::exchange(reported_statistics_[name], value);
    if (shown > 0) line << ' ' << name << '=' << shown;
  }
  return "status" + line.str();
}

}  // namespace pathstack::core

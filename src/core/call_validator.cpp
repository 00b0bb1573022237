#include "core/call_validator.h"

#include <algorithm>

namespace pathstack::core {
namespace {

constexpr int kMaxSlots = 1024;              // concurrency slots of one instance
constexpr double kDefaultMaxMemoryMb = 1e6;  // if the settings do not state the memory of hosts
// Added to each time limit of the settings for calls over sockets: clients were seen to wait a few
// milliseconds longer than the limit.
constexpr Millis kTimeLimitSlack{50};

double largest_memory_mb(const Settings& settings) {
  double largest = 0;
  for (const auto& [kind, megabytes] : settings.kind_memory_mb) largest = std::max(largest, megabytes);
  return largest > 0 ? largest : kDefaultMaxMemoryMb;
}

}  // namespace

CallValidator::CallValidator(const Settings& settings) : max_memory_mb_(largest_memory_mb(settings)) {
  for (const auto& c : settings.classes) deadlines_.emplace(c.name, c.deadline);
  for (const auto& t : settings.tenants) tenants_.insert(t.name);
}

std::optional<Counter> CallValidator::find_fault(const Call& call) const {
  const auto deadline = deadlines_.find(call.class_name);
  if (deadline == deadlines_.end()) return Counter::calls_unknown_class;
  if (!is_known_tenant(call.tenant)) return Counter::calls_unknown_tenant;
  if (!has_valid_resources(call)) return Counter::calls_bad_figures;
  const bool time_in_range =
      call.client_timeout.count() > 0 && call.client_timeout <= deadline->second + kTimeLimitSlack;
  if (!time_in_range) return Counter::calls_bad_figures;
  return std::nullopt;
}

// A call may leave out its tenant. Settings without tenants allow any.
bool CallValidator::is_known_tenant(const std::string& tenant) const {
  return tenant.empty() || tenants_.empty() || tenants_.count(tenant) != 0;
}

// NaN as the memory fails the first comparison.
bool CallValidator::has_valid_resources(const Call& call) const {
  const bool memory_in_range = call.memory_mb >= 0 && call.memory_mb <= max_memory_mb_;
  return memory_in_range && call.concurrency >= 1 && call.concurrency <= kMaxSlots;
}

}  // namespace pathstack::core

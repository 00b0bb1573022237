/// Validation of calls before they are taken.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/counter.h"
#include "core/types.h"

namespace pathstack::core {

/// Checks calls against the settings, for every front. A call that no host can run would still use hosts and
/// the load budget, and might make a host close a connection that carries other calls. Keeps a copy of the
/// settings that it needs, and no state of calls.
class CallValidator {
 public:
  /// `settings` is not used after the construction.
  explicit CallValidator(const Settings& settings);

  /// Returns the reason to reject `call`, as the counter of that reason; nothing if the call is valid. Times
  /// of the call are in milliseconds, its memory is in megabytes. Cost: logarithmic in the number of classes
  /// and tenants.
  std::optional<Counter> find_fault(const Call& call) const;

 private:
  std::map<std::string, Millis> deadlines_;  // by class name
  std::set<std::string> tenants_;            // empty: any tenant is allowed
  double max_memory_mb_ = 0;

  bool is_known_tenant(const std::string& tenant) const;
  bool has_valid_resources(const Call& call) const;
};

}  // namespace pathstack::core

/// Tells the calls that hosts can run from those that no host could use.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/counter.h"
#include "core/types.h"

namespace pathstack::core {

/// Checks calls against the settings before they are taken. A call that no host can use costs hosts and the
/// load budget all the same, and may close a connection on which others wait: it ends here, whichever front
/// it came through. Holds what it needs of the settings and no state of calls.
class CallValidator {
 public:
  explicit CallValidator(const Settings& settings);

  /// The reason for which `call` is rejected, as the counter that counts it; nothing if the call is valid.
  /// Its times are in milliseconds, its memory in megabytes. Cost: logarithmic in the classes and tenants.
  std::optional<Counter> find_fault(const Call& call) const;

 private:
  std::map<std::string, Millis> deadlines_;  // of the classes
  std::set<std::string> tenants_;            // empty: any tenant is allowed
  double max_memory_mb_ = 0;

  bool is_known_tenant(const std::string& tenant) const;
  bool has_valid_resources(const Call& call) const;
};

}  // namespace pathstack::core

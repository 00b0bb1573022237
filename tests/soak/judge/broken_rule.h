/// A violation of one of the platform's rules, found in the record of a run.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace pathstack::soak {

/// One violation: the rule's name, the time in the run, and a sentence for the reader of the report.
struct Violation {
  std::string rule;
  Millis at{0};
  std::string message;
  bool depends_on_machine_speed = false;  // an overloaded machine can cause the violation too
};
using Violations = std::vector<Violation>;

}  // namespace pathstack::soak

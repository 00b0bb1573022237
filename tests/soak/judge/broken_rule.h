// A rule that a run broke.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace pathstack::soak {

struct Violation {
  std::string rule;
  Millis at{0};
  std::string message;
  bool depends_on_machine_speed = false;  // a machine that is too busy could cause it as well
};
using Violations = std::vector<Violation>;

}  // namespace pathstack::soak

// A rule that a run broke.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace pathstack::soak {

struct BrokenRule {
  std::string rule;
  Millis at{0};
  std::string what;
  bool depends_on_pace = false;  // a machine that is too busy could cause it as well
};
using BrokenRules = std::vector<BrokenRule>;

}  // namespace pathstack::soak

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
};
using BrokenRules = std::vector<BrokenRule>;

}  // namespace pathstack::soak

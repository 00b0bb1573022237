// All rules together.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// What the record breaks of the platform's rules, in order of time.
Violations judge(const Record& record);

}  // namespace pathstack::soak

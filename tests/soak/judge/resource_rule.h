// The rule on what a process may use.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// No process goes over its limits of memory and descriptors. Cost: linear in the samples.
Violations check_resources(const Record& record);

}  // namespace pathstack::soak

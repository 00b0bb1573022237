// The rule on processes.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// An invoker is ready within 10 s of its start, ends only when it was told to, and then with status 0.
Violations check_processes(const Record& record);

}  // namespace pathstack::soak

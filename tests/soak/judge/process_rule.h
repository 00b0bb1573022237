/// Rule `process`: invoker processes become ready in time and exit cleanly.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Reports each invoker process that is not ready within 10 s of its start, that ends without SIGTERM or
/// SIGKILL, or that exits with a status other than 0 after SIGTERM. Cost: linear in the processes.
Violations check_processes(const Record& record);

}  // namespace pathstack::soak

/// Rule `resources`: limits on memory and file descriptors of a process.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Reports each sample of a process above its memory or descriptor limit. Cost: linear in the samples.
Violations check_resources(const Record& record);

}  // namespace pathstack::soak

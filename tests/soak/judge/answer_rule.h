/// Rule `answer`: every call gets exactly one final reply, in time.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Reports each call without exactly one final reply within its time limit, unless its client cancelled or
/// disconnected or its invoker was killed, and each `OK` reply whose body no host returned. A reply may still
/// arrive within the slack after a client's cancel. Cost: linear in calls and requests.
Violations check_answers(const Record& record);

}  // namespace pathstack::soak

// The rule on final answers.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Each call gets one final answer, in its time, unless its client left or its invoker was killed; an answer
/// `OK` carries what a host gave. An answer may cross a client's cancel by the slack. Cost: linear in calls
/// and requests.
Violations check_answers(const Record& record);

}  // namespace pathstack::soak

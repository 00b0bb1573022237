// The rules on the attempts of a call.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// At most `send_cap` attempts, never two at once, none after one that may have run where the class may run
/// once only, none over 0.1 s after the client left, and each states no more time than the client has left
/// (0.15 s of tolerance). Cost: n log n in the requests.
Violations check_attempts(const Record& record);

}  // namespace pathstack::soak

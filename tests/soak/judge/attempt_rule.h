/// Rule `attempt`: limits on the attempts of a call.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Reports a call with more than `send_cap` attempts, with two attempts in flight at once, with an attempt
/// more than 0.1 s after its client cancelled or disconnected, or with an attempt whose timeout exceeds the
/// time that the client has left by more than 0.15 s. A call of a class that may run only once must not be
/// attempted again after an attempt that may have run. Cost: n log n in the requests.
Violations check_attempts(const Record& record);

}  // namespace pathstack::soak

// The rule on load orders.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Whenever an invoker orders a load, its orders of the window, this one included, number at most a floor
/// plus a ratio of the calls that it took in that time; the page on sockets adds 15 in 100 and one order. A
/// process that was started anew has ordered and taken nothing yet.
/// Cost: orders x (orders + calls).
Violations check_load_budget(const Record& record);

}  // namespace pathstack::soak

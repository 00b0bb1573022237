/// Rule `load_budget`: an invoker's load orders are limited by the calls that it receives.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Reports each load order with which an invoker exceeds its budget. Within the time window that ends with
/// the order, the invoker may send as many load orders, this one included, as a floor plus a ratio of the
/// calls that it received. The platform's rules for deployments over sockets allow 15% and one order more. A
/// restarted process starts with no orders and no calls. Cost: orders x (orders + calls).
Violations check_load_budget(const Record& record);

}  // namespace pathstack::soak

/// Rule `outage service`: calls are served while the membership log is unreachable and after it has
/// recovered.
#pragma once

#include <optional>

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Served share of the calls sent while their invoker could not reach the membership log, counted from
/// `OutageService::counted_after` after the start of the outage; nullopt if there were none. Calls that the
/// client cancelled or abandoned are not counted. Cost: calls x outages.
std::optional<double> share_served_in_outages(const Record& record);

/// Served share of the calls sent in the second that starts `OutageService::recovery_time` after the end of
/// an outage; nullopt if there were none. Cost: calls x outages.
std::optional<double> share_served_after_outages(const Record& record);

/// Reports each of the two shares that is below `OutageService::min_served_share`; 0 disables the rule.
Violations check_outage_service(const Record& record);

}  // namespace pathstack::soak

// Service while the membership log is out of reach, and once it is back.
#pragma once

#include <optional>

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Share of the calls served that were sent while their invoker's log was out of reach, from
/// `OutageService::counted_after` into the outage on; nothing if there were none. Calls whose client left are
/// left out. Cost: calls x outages.
std::optional<double> share_served_in_outages(const Record& record);

/// The same of calls sent within a second that begins `OutageService::recovery_time` after an outage's end.
std::optional<double> share_served_after_outages(const Record& record);

/// Both shares reach what the run asks for; nothing is asked where `OutageService::min_served_share` is 0.
Violations check_outage_service(const Record& record);

}  // namespace pathstack::soak

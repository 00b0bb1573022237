/// Rule `drain`: no new work for workers that drain or are gone.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Time from which the platform's rules treat an event of the membership log as known to an invoker, whatever
/// the invoker has received. Without an outage, that is the time of the event. During an outage it is 2 s
/// after the connection was closed or refused, or 4 s after the log went silent or SIGHUP moved it, but not
/// before the event itself. The invoker's next request that reaches the log ends the delay in any case.
///
/// An outage also covers events in transit when it began: those of the last 20 ms, or of the log's delay if
/// that is longer. A log that sends sequence numbers only counts as stopped from the first event that it
/// withholds, as the invoker cannot notice before. Cost: linear in outages, log queries and changes.
Millis assumed_known_at(const Record& record, int invoker, Millis event_at);

/// Reports each call and load order that begins later than the grace period after the worker's drain or
/// removal counts as known to the invoker. Load orders of 0 instances are queries and are exempt. Cost:
/// requests x changes.
Violations check_drains(const Record& record);

}  // namespace pathstack::soak

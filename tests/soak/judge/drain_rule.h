// The rule on draining workers.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// When an event of the membership log counts as told to an invoker by the pages, whatever it has received:
/// at once; during an outage 2 s after a break, 4 s after the log stopped or SIGHUP moved it, but not before
/// the event itself; in any case as soon as the invoker's next question has reached the log. An outage also
/// covers what was on its way when it began: 20 ms, and the delay of the log. A log that tells numbers alone
/// stops with the first event that it keeps back, as nobody could tell before. Cost: linear in outages, asks
/// and changes.
Millis assumed_known_at(const Record& record, int invoker, Millis event_at);

/// No call and no order to load begins later than the grace after a drain or removal counts as told.
/// Cost: requests x changes.
Violations check_drains(const Record& record);

}  // namespace pathstack::soak

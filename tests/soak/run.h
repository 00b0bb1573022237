/// Plays one schedule of faults against real invoker processes.
#pragma once

#include "invoker_slot.h"
#include "record.h"
#include "schedule.h"

namespace pathstack::soak {

/// Starts the deployment of the schedule, applies the faults in real time, and returns the record of the run.
/// Ends every process that it started, also on an exception. `stop` is read in each turn of the event loop;
/// true ends the run early. Throws std::runtime_error if something cannot be started or an invoker is not
/// ready within 20 s. Takes the length of the schedule, the start of the invokers and the longest time limit
/// of a call.
Record play(const Schedule& schedule, const ProgramFiles& files, const volatile bool& stop);

}  // namespace pathstack::soak

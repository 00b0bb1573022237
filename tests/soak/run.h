// Plays one schedule against real processes.
#pragma once

#include "invoker_slot.h"
#include "record.h"
#include "schedule.h"

namespace pathstack::soak {

/// Starts all that the schedule names, applies its faults in real time, and returns what was seen. Ends all
/// that it started, also on an exception. `stop` is looked at in each turn: true ends the run early.
/// Throws std::runtime_error if something cannot be started or an invoker is not ready for 20 s.
Record play(const Schedule& schedule, const ProgramFiles& files, const volatile bool& stop);

}  // namespace pathstack::soak

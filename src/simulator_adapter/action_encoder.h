// The decision module's actions in the form of the simulator's wire.
#pragma once

#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::simulator_adapter {

/// An action as the simulator takes it: an array that begins with the command's name. Durations are in
/// milliseconds.
nlohmann::json encode_action(const policy::Action& action);

}  // namespace pathstack::simulator_adapter

/// Encodes the decision module's actions as commands of the simulator's protocol.
#pragma once

#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::simulator_adapter {

/// Encodes an action as a JSON array that begins with the name of the command. Durations are in milliseconds.
nlohmann::json encode_action(const policy::Action& action);

}  // namespace pathstack::simulator_adapter

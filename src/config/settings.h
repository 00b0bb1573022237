// The start-up settings, under the names of the wire page: read here for the adapter and for the invoker.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::config {

pathstack::policy::Settings read_settings(const nlohmann::json& env, std::uint64_t seed);

}  // namespace pathstack::config

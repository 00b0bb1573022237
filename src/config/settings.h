// The settings of the decision module, by the names of the platform's wire page.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::config {

/// Reads the settings leniently, for the simulator's adapter and for the invoker alike: what is absent or of
/// another type has its default. The invoker checks them beforehand, see config/settings_check.h.
pathstack::policy::Settings read_settings(const nlohmann::json& env, std::uint64_t seed);

}  // namespace pathstack::config

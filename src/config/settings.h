/// Reader of the decision module's settings, whose keys the platform's wire specification names.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::config {

/// Reads the settings leniently: a value that is absent or of another type gets its default. Used by the
/// simulator adapter and by the invoker, which validates the settings first (config/settings_check.h).
pathstack::policy::Settings read_settings(const nlohmann::json& env, std::uint64_t seed);

}  // namespace pathstack::config

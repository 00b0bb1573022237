// What the decision module's settings must be for an invoker to start with them.
#pragma once

#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::config {

/// Checks that every key of `settings` that is known here is absent or of its kind. Unknown keys are ignored:
/// the platform may add some. Throws ConfigError. Cost: linear in the classes and tenants.
void check_setting_types(const nlohmann::json& settings);

/// Checks that there are classes that calls can name, each with a deadline. Throws ConfigError.
void check_classes(const nlohmann::json& settings, const pathstack::policy::Settings& read);

}  // namespace pathstack::config

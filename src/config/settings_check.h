/// Validation of the decision module's settings at the start of an invoker.
#pragma once

#include <nlohmann/json.hpp>

#include "pathstack/policy.h"

namespace pathstack::config {

/// Checks that each known key of `settings` is absent or has a value of the right type. Unknown keys are
/// ignored, as the platform may add some. Throws ConfigError. Cost: linear in the classes and tenants.
void check_setting_types(const nlohmann::json& settings);

/// Checks that there is at least one class, and that each class has a deadline and a name that calls can
/// carry. Throws ConfigError.
void check_classes(const nlohmann::json& settings, const pathstack::policy::Settings& read);

}  // namespace pathstack::config

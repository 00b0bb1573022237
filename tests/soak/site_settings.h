// The platform's settings object of a drawn deployment.
#pragma once

#include <nlohmann/json.hpp>

#include "record.h"
#include "schedule.h"

namespace pathstack::soak {

inline constexpr const char* kRepeatableClass = "preview";
inline constexpr const char* kOnceClass = "licence";

/// `settings` of the configuration file of invoker `rank`.
nlohmann::json site_settings(const Deployment& deployment, int rank);

/// The same limits for the judge.
RuleSettings rule_settings(const Deployment& deployment);

std::string zone_name(int zone);

}  // namespace pathstack::soak

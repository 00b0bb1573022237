/// The platform's settings for a deployment.
#pragma once

#include <nlohmann/json.hpp>

#include "record.h"
#include "schedule.h"

namespace pathstack::soak {

/// Name of the class with these semantics; each deployment has one class per semantics.
const char* class_name(Semantics semantics);

/// Value of `settings` in the configuration of invoker `rank`.
nlohmann::json site_settings(const Deployment& deployment, int rank);

/// Limits of the deployment that the judge checks; consistent with `site_settings`.
RuleSettings rule_settings(const Deployment& deployment);

/// Name of zone `zone`, counted from 0.
std::string zone_name(int zone);

}  // namespace pathstack::soak

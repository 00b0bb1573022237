// Envoy's Cluster and ClusterLoadAssignment, in the JSON form of xDS files, as a list of hosts.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"
#include "core/member.h"

namespace pathstack::xds {

/// Why a list of hosts cannot be used.
struct ReadError {
  std::string reason;  // for the operator; quotes at most 200 bytes of the file
};

/// The endpoints of `cluster`: those of the assignment that the cluster holds itself, or else of the one that
/// bears its name or the service name of its EDS configuration.
///
/// All or nothing: half a list must not be taken for one from which hosts were removed. So a list that isn't
/// one, and an endpoint without a numeric address and port of its own, are errors. Unknown keys are ignored.
/// Cost: n log n in the number of endpoints.
Result<core::MemberList, ReadError> read_assignment(const nlohmann::json& file, const std::string& cluster);

}  // namespace pathstack::xds

/// Reader of Envoy's Cluster and ClusterLoadAssignment resources, in the JSON form of xDS files.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"
#include "core/member.h"

namespace pathstack::xds {

/// Why an endpoint list cannot be used.
struct ReadError {
  std::string reason;  // for the operator; quotes at most 200 bytes of the file
};

/// Returns the endpoints of `cluster` as a complete host list: those of its inline assignment, or otherwise
/// of the assignment named by the service name in its EDS configuration, or by the name of the cluster.
///
/// Fails as a whole, as a partial list would look like one from which hosts were removed: a value of another
/// type in place of a list, and an endpoint without a unique numeric address and port, are errors. Unknown
/// keys are ignored. Cost: n log n in the number of endpoints.
Result<core::MemberList, ReadError> read_assignment(const nlohmann::json& file, const std::string& cluster);

}  // namespace pathstack::xds

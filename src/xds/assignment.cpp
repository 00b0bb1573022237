#include "xds/assignment.h"

#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "config/json_read.h"
#include "net/socket.h"

namespace pathstack::xds {
namespace {

using config::key;
using config::text;
using core::WorkerState;
using nlohmann::json;

constexpr std::size_t kMaxQuotedBytes = 200;
constexpr std::string_view kAssignmentType = "ClusterLoadAssignment";

// The key of this program in the filter metadata of an endpoint. Files of operators contain the key, so it
// must not change, whatever the program is called.
constexpr const char* kMetadataName = "lotusyard";

// The values of envoy.config.core.v3.HealthStatus with which a host takes new calls.
enum class HealthStatus { unknown = 0, healthy = 1, degraded = 5 };

// Returns a field of a protobuf message, whose JSON form may use either name.
const json& snake_or_camel(const json& object, const char* snake_case, const char* camel_case) {
  const json& found = key(object, snake_case);
  return found.is_null() ? key(object, camel_case) : found;
}

// Any other value would read as an empty list, and all hosts would be removed.
bool is_list(const json& value) { return value.is_null() || value.is_array(); }

std::string quote(const json& value) { return value.dump().substr(0, kMaxQuotedBytes); }

bool ends_with(std::string_view whole, std::string_view end) {
  return whole.size() >= end.size() && whole.substr(whole.size() - end.size()) == end;
}

bool is_assignment(const json& resource) {
  const std::string type = text(key(resource, "@type"));
  if (!type.empty()) return ends_with(type, kAssignmentType);
  return !snake_or_camel(resource, "cluster_name", "clusterName").is_null();
}

// A host that is not listed as healthy gets no new calls, so UNHEALTHY and TIMEOUT count as DRAINING.
WorkerState state_of(const json& endpoint) {
  const json& health = snake_or_camel(endpoint, "health_status", "healthStatus");
  bool takes_calls = false;
  if (health.is_number()) {
    const auto status = static_cast<HealthStatus>(config::integer(health));
    takes_calls = status == HealthStatus::unknown || status == HealthStatus::healthy ||
                  status == HealthStatus::degraded;
  } else {
    const std::string status = text(health);
    takes_calls = status.empty() || status == "UNKNOWN" || status == "HEALTHY" || status == "DEGRADED";
  }
  return takes_calls ? WorkerState::ready : WorkerState::draining;
}

// Returns host:port; empty if the endpoint has no numeric address with a port.
std::string address_of(const json& endpoint) {
  const json& socket =
      snake_or_camel(key(key(endpoint, "endpoint"), "address"), "socket_address", "socketAddress");
  const std::string host = text(key(socket, "address"));
  const int port = config::integer(snake_or_camel(socket, "port_value", "portValue"));
  const bool is_ipv6 = host.find(':') != std::string::npos;
  std::string address = (is_ipv6 ? '[' + host + ']' : host) + ':' + std::to_string(port);
  if (port <= 0 || !net::valid_address(address)) return {};
  return address;
}

// A file holds one resource, an array of resources, or an object with such an array.
std::vector<const json*> resources_of(const json& file) {
  const json& listed = key(file, "resources");
  const json& resources = listed.is_array() ? listed : file;
  if (!resources.is_array()) return {&resources};
  std::vector<const json*> out;
  for (const auto& resource : resources) out.push_back(&resource);
  return out;
}

const json* find_assignment(const json& file, const std::string& cluster) {
  const auto resources = resources_of(file);
  const json* inlined = nullptr;
  std::string service = cluster;
  for (const json* resource : resources) {
    if (is_assignment(*resource) || text(key(*resource, "name")) != cluster) continue;
    const json& own = snake_or_camel(*resource, "load_assignment", "loadAssignment");
    if (own.is_object()) inlined = &own;
    const json& eds = snake_or_camel(*resource, "eds_cluster_config", "edsClusterConfig");
    const std::string named = text(snake_or_camel(eds, "service_name", "serviceName"));
    if (!named.empty()) service = named;
  }
  if (inlined != nullptr) return inlined;
  const json* found = nullptr;
  for (const json* resource : resources) {
    if (!is_assignment(*resource)) continue;
    if (text(snake_or_camel(*resource, "cluster_name", "clusterName")) == service) found = resource;
  }
  return found;
}

// Collects the hosts of one assignment; errors for an endpoint that cannot be used or is listed twice.
class EndpointCollector {
 public:
  EndpointCollector() { list_.complete = true; }

  std::optional<ReadError> read_locality(const json& locality) {
    const json& endpoints = snake_or_camel(locality, "lb_endpoints", "lbEndpoints");
    if (!locality.is_object() || !is_list(endpoints)) {
      return ReadError{"an entry of endpoints is not an object with a list lb_endpoints: " + quote(locality)};
    }
    const std::string zone = text(key(key(locality, "locality"), "zone"));
    for (const auto& endpoint : endpoints) {
      if (auto error = read_endpoint(endpoint, zone)) return error;
    }
    return std::nullopt;
  }

  core::MemberList take() { return std::move(list_); }

 private:
  core::MemberList list_;
  std::set<std::string> addresses_;

  std::optional<ReadError> read_endpoint(const json& endpoint, const std::string& zone) {
    core::Member member;
    member.address = member.entry.worker = address_of(endpoint);
    if (member.address.empty() || !addresses_.insert(member.address).second) {
      return ReadError{"an endpoint has no numeric address and port, or one that is listed twice: " +
                       quote(endpoint)};
    }
    const json& weight = snake_or_camel(endpoint, "load_balancing_weight", "loadBalancingWeight");
    const json& metadata = snake_or_camel(key(endpoint, "metadata"), "filter_metadata", "filterMetadata");
    member.entry.state = state_of(endpoint);
    member.entry.zone = zone;
    member.entry.weight = config::number(weight, 1);
    member.entry.kind = text(key(key(metadata, kMetadataName), "kind"));
    list_.members.push_back(std::move(member));
    return std::nullopt;
  }
};

}  // namespace

Result<core::MemberList, ReadError> read_assignment(const json& file, const std::string& cluster) {
  const json* assignment = find_assignment(file, cluster);
  if (assignment == nullptr) return ReadError{"no endpoints of cluster '" + cluster + "'"};
  const json& localities = key(*assignment, "endpoints");
  if (!is_list(localities)) return ReadError{"endpoints is not a list"};
  EndpointCollector collector;
  for (const auto& locality : localities) {
    if (auto error = collector.read_locality(locality)) return *error;
  }
  return collector.take();
}

}  // namespace pathstack::xds

/// The settings of deploy/triggers.json, with the addresses of stand-ins.
#pragma once

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "worker.h"

namespace pathstack::review {

/// Writes config.json and the xDS file of the hosts into `work`.
inline void write_triggers_configuration(const std::string& root, const std::string& work,
                                         const std::string& broker,
                                         const std::vector<std::unique_ptr<Worker>>& workers) {
  using nlohmann::json;
  std::ifstream in(root + "/deploy/triggers.json");
  json config = json::parse(in);
  config["amqp"]["broker"] = broker;
  config["xds"]["file"] = work + "/hosts.json";
  std::ofstream(work + "/config.json") << config.dump(1);
  json endpoints = json::array();
  for (const auto& worker : workers) {
    const auto colon = worker->address().rfind(':');
    const json socket = {{"address", worker->address().substr(0, colon)},
                         {"port_value", std::stoi(worker->address().substr(colon + 1))}};
    json endpoint;
    endpoint["endpoint"]["address"]["socket_address"] = socket;
    endpoint["health_status"] = "HEALTHY";
    endpoint["metadata"]["filter_metadata"]["lotusyard"]["kind"] = "std-2c";
    endpoints.push_back(endpoint);
  }
  json locality, assignment, file;
  locality["locality"]["zone"] = "osborne-park";
  locality["lb_endpoints"] = endpoints;
  assignment["@type"] = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
  assignment["cluster_name"] = config["xds"]["cluster"];
  assignment["endpoints"] = json::array({locality});
  file["resources"] = json::array({assignment});
  std::ofstream(work + "/hosts.json") << file.dump(1);
}

}  // namespace pathstack::review

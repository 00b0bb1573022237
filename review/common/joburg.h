/// The configuration of one invoker at joburg-render, with the addresses of stand-ins.
#pragma once

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "worker.h"

namespace pathstack::review {

/// Writes config.json into `work`: the settings of WIRE-pathstack.md, section 13, and the form of
/// DEPLOY-pathstack.md.
inline void write_joburg_configuration(const std::string& root, const std::string& work,
                                       const std::string& listen, const std::string& change_log,
                                       const std::vector<std::unique_ptr<Worker>>& workers, int memory_mb,
                                       int sockets) {
  using nlohmann::json;
  std::ifstream in(root + "/review/common/joburg-settings.json");
  json config;
  config["name"] = "n1";
  config["listen"] = listen;
  config["seed"] = "8c1f30d27a5be964";
  config["limits"] = {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", sockets}};
  config["changelog"] = change_log;
  config["settings"] = json::parse(in);
  json members = json::array();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    members.push_back({{"id", workers[i]->name()},
                       {"host_port", workers[i]->address()},
                       {"locality", i % 2 == 0 ? "hall-a" : "hall-b"},
                       {"flavor", "std-3core"},
                       {"cell", 1},
                       {"phase", "ready"},
                       {"size", 1},
                       {"up_since_ms", 0}});
  }
  json event;
  event["seq"] = 1;
  event["fleet"] = {{"revision", 1}, {"complete", true}, {"members", members}};
  config["known"] = {{"seq", 1}, {"results", json::array({event})}};
  std::ofstream(work + "/config.json") << config.dump(1);
}

/// A free port of 127.0.0.1, for a program that takes the address from its configuration.
inline std::string free_address() {
  const net::ListenResult taken = net::listen_on("127.0.0.1:0");
  return net::bound_address(taken.socket);
}

}  // namespace pathstack::review

// The invoker's configuration: read, checked and given its defaults here and nowhere else.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "config/config_error.h"
#include "config/membership_events.h"
#include "pathstack/policy.h"

namespace pathstack::config {

/// AMQP triggers, off unless the file has a part `amqp`.
struct AmqpConfig {
  std::string broker;  // a numeric address with a port
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;
  std::uint16_t prefetch = 32;     // messages in flight
  std::uint16_t heartbeat_s = 10;  // seconds; 0: none
  std::size_t body_kb = 16;        // KiB, of one message
  std::size_t open_calls = 256;
  std::size_t remembered = 10000;  // answers kept for repeated messages
  std::size_t remembered_mb = 16;  // MiB, of these answers
};

/// Envoy's list of hosts, in place of the membership log.
struct XdsConfig {
  std::string file, cluster;
  Millis reread{500};  // between looks at the file
};

/// All that an invoker is configured with.
struct Config {
  std::string name;
  std::string listen;     // empty where only triggers bring calls
  std::string changelog;  // the address of the membership log; empty with an xDS file
  std::optional<AmqpConfig> amqp;
  std::optional<XdsConfig> xds;
  std::uint64_t seed = 0;       // of the decision module and of jitter
  std::size_t memory_mb = 192;  // MiB, the memory limit of the process
  std::size_t sockets = 1024;   // the limit on its descriptors
  std::uint64_t known_seq = 0;  // the last event of the membership log that `known_events` make up for
  std::vector<MembershipEvent> known_events;
  pathstack::policy::Settings settings;
  Millis connection_idle{15000};             // after which an unused connection to a host is closed
  std::size_t attempts_per_connection = 32;  // in flight on one connection to a host
  std::vector<std::string> report_fields;
};

/// A configuration file as it was parsed. The events of `known` stand apart, as a fleet's list of hosts is
/// many times as large in a document.
struct ConfigFile {
  ConfigFile(nlohmann::json parsed, std::vector<MembershipEvent> events = {})
      : document(std::move(parsed)), known_events(std::move(events)) {}
  nlohmann::json document;
  std::vector<MembershipEvent> known_events;
};

/// `listen` and `name` come from the environment where the file has none. Throws ConfigError for the first
/// fault found.
Config read_config(ConfigFile config_file, const std::string& name, const std::string& listen);

/// Memory: that of the hosts that the file names, and of one row of them. Throws ConfigError.
ConfigFile read_config_file(const std::string& path);

}  // namespace pathstack::config

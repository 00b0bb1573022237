/// Configuration of the invoker. This is the only place that reads it, checks it and sets its defaults.
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

/// Settings of the AMQP triggers, which are off unless the file has an object `amqp`.
struct AmqpConfig {
  std::string broker;  // numeric address with a port
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;
  std::uint16_t prefetch = 32;     // most unacknowledged messages
  std::uint16_t heartbeat_s = 10;  // seconds; 0 disables heartbeats
  std::size_t body_kb = 16;        // KiB; largest message body
  std::size_t open_calls = 256;    // most calls in progress
  std::size_t remembered = 10000;  // most answers kept for repeated messages
  std::size_t remembered_mb = 16;  // MiB; memory limit of the kept answers
};

/// File with Envoy's endpoint list, which replaces the membership log.
struct XdsConfig {
  std::string file, cluster;
  Millis reread{500};  // interval between checks of the file for changes
};

/// Complete configuration of an invoker.
struct Config {
  std::string name;
  std::string listen;     // address for clients; empty if calls arrive by triggers only
  std::string changelog;  // address of the membership log; empty with an xDS file
  std::optional<AmqpConfig> amqp;
  std::optional<XdsConfig> xds;
  std::uint64_t seed = 0;       // of the decision module and of backoff jitter
  std::size_t memory_mb = 192;  // MiB; memory limit of the process
  std::size_t sockets = 1024;   // limit on open file descriptors
  std::uint64_t known_seq = 0;  // number of the last membership event that `known_events` covers
  std::vector<MembershipEvent> known_events;
  pathstack::policy::Settings settings;
  Millis connection_idle{15000};             // idle time after which a host connection is closed
  std::size_t attempts_per_connection = 32;  // most attempts in flight on one host connection
  std::vector<std::string> report_fields;
};

/// A parsed configuration file. The events of `known` are kept apart from the document, as the host list of a
/// fleet takes many times as much memory in a JSON document.
struct ConfigFile {
  ConfigFile(nlohmann::json parsed, std::vector<MembershipEvent> events = {})
      : document(std::move(parsed)), known_events(std::move(events)) {}
  nlohmann::json document;
  std::vector<MembershipEvent> known_events;
};

/// Checks the file and applies the defaults. `name` and `listen`, which come from the environment, are used
/// where the file has none. Throws ConfigError for the first invalid value.
Config read_config(ConfigFile config_file, const std::string& name, const std::string& listen);

/// Parses the file. Throws ConfigError if the file cannot be read or is not a JSON object. Peak memory: the
/// hosts that the file lists, plus one host row as JSON.
ConfigFile read_config_file(const std::string& path);

}  // namespace pathstack::config

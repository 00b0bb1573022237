#include "config/config.h"

#include <fstream>
#include <random>
#include <utility>

#include "config/json_read.h"
#include "config/settings.h"
#include "config/settings_check.h"
#include "config/value_checks.h"
#include "net/fields.h"
#include "net/socket.h"

namespace pathstack::config {
namespace {

constexpr std::size_t kMaxQueueNameBytes = 255;  // AMQP 0-9-1, 4.2.5.3: length of a short string
constexpr Millis kDefaultConnectTimeout{250};
constexpr Millis kDefaultOrderTimeout{10000};

std::vector<std::string> read_queues(const json& queues) {
  if (!queues.is_array() || queues.empty())
    throw_config_error("amqp.queues", "must be a non-empty array of queue names");
  std::vector<std::string> names;
  for (const auto& queue : queues) {
    const std::string name = text(queue);
    if (name.empty() || name.size() > kMaxQueueNameBytes) {
      throw_config_error("amqp.queues", "each name must have 1 to 255 bytes");
    }
    names.push_back(name);
  }
  return names;
}

AmqpConfig read_amqp(const json& from) {
  if (!from.is_object()) throw_config_error("amqp", "must be an object");
  AmqpConfig out;
  out.broker = string_value(from, "broker", "amqp.broker", nullptr);
  if (!net::valid_address(out.broker)) {
    throw_config_error("amqp.broker", "not a numeric address with a port: '" + out.broker + "'");
  }
  out.user = string_value(from, "user", "amqp.user", "guest");
  out.password = string_value(from, "password", "amqp.password", "guest");
  out.vhost = string_value(from, "vhost", "amqp.vhost", "/");
  out.queues = read_queues(key(from, "queues"));
  out.prefetch = integer_within(from, "prefetch", "amqp.prefetch", out.prefetch, 1, 1000);
  out.heartbeat_s = integer_within(from, "heartbeat_s", "amqp.heartbeat_s", out.heartbeat_s, 0, 600);
  out.body_kb = integer_within(from, "body_kb", "amqp.body_kb", out.body_kb, 1, 1024);
  out.open_calls = integer_within(from, "open_calls", "amqp.open_calls", out.open_calls, 1, 10000);
  out.remembered = integer_within(from, "remembered", "amqp.remembered", out.remembered, 1, 1e6);
  out.remembered_mb = integer_within(from, "remembered_mb", "amqp.remembered_mb", out.remembered_mb, 1, 1e4);
  return out;
}

XdsConfig read_xds(const json& from) {
  if (!from.is_object()) throw_config_error("xds", "must be an object");
  XdsConfig out;
  out.file = string_value(from, "file", "xds.file", nullptr);
  out.cluster = string_value(from, "cluster", "xds.cluster", nullptr);
  out.reread = Millis(number_within(from, "reread_ms", "xds.reread_ms", out.reread.count(), 10, 1500));
  return out;
}

std::uint64_t random_seed() {
  std::random_device source;
  return static_cast<std::uint64_t>(source()) << 32 | source();
}

std::uint64_t read_seed(const json& file) {
  const json& value = key(file, "seed");
  const bool is_operator_file = !key(file, "amqp").is_null();  // an operator need not choose a seed
  if (value.is_null() && is_operator_file) return random_seed();
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  const auto seed = value.is_string() ? net::parse_hex16(value.get<std::string>()) : std::nullopt;
  if (!seed) throw_config_error("seed", "must be 16 hex digits");
  return *seed;
}

void read_limits(const json& limits, Config& out) {
  if (!limits.is_null() && !limits.is_object()) throw_config_error("limits", "must be an object");
  out.memory_mb = integer_within(limits, "memory_mb", "limits.memory_mb", out.memory_mb, 32, 1e6);
  out.sockets = integer_within(limits, "sockets", "limits.sockets", out.sockets, 64, 1e6);
}

void read_known(const json& known, std::vector<MembershipEvent>&& events, Config& out) {
  if (known.is_null()) return;
  const json& seq = key(known, "seq");
  // MembershipEventReader has removed each event that is an object; what remains cannot be read.
  const json& unread = key(known, "results");
  if (!seq.is_number_unsigned()) throw_config_error("known.seq", "must be a non-negative integer");
  if (!unread.is_array()) throw_config_error("known.results", "must be an array");
  out.known_seq = uint64(seq);
  out.known_events = std::move(events);
  if (unread.empty()) return;
  MembershipEvent malformed;
  malformed.has_members = true;
  malformed.malformed = true;
  out.known_events.push_back(std::move(malformed));
}

void read_invoker_settings(const json& settings, Config& out) {
  check_setting_types(settings);
  const json& bounds = key(settings, "Bounds");
  number_within(bounds, "SendCap", "settings.Bounds.SendCap", 1, 1, 1000);
  out.connection_idle = Millis(
      number_within(bounds, "ConnIdle", "settings.Bounds.ConnIdle", out.connection_idle.count(), 1, 1e9));
  out.attempts_per_connection = integer_within(bounds, "StreamsPerConn", "settings.Bounds.StreamsPerConn",
                                               out.attempts_per_connection, 1, 1e6);
  out.settings = read_settings(settings, out.seed);
  // Invokers have no channel between them, so probes made to inform other invokers would be wasted.
  out.settings.peer_messages = false;
  if (!(out.settings.connect_timeout.count() > 0)) out.settings.connect_timeout = kDefaultConnectTimeout;
  if (!(out.settings.order_timeout.count() > 0)) out.settings.order_timeout = kDefaultOrderTimeout;
  for (const auto& field : key(key(settings, "LoadInfo"), "Fields")) {
    out.report_fields.push_back(text(field));
  }
  check_classes(settings, out.settings);
}

}  // namespace

ConfigFile read_config_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw_config_error(path, "cannot be read");
  MembershipEventReader events({"known", "results"});
  const auto callback = [&events](int depth, json::parse_event_t event, json& parsed) {
    return events(depth, event, parsed);
  };
  try {
    auto document = json::parse(in, callback, false);
    if (!document.is_object()) throw_config_error(path, "not a JSON object");
    return {std::move(document), events.take_events()};
  } catch (const std::ios_base::failure&) {  // thrown by a failed read, even with stream exceptions off
    throw_config_error(path, "cannot be read");
  }
}

Config read_config(ConfigFile config_file, const std::string& name, const std::string& listen) {
  const json& file = config_file.document;
  Config out;
  out.name = key(file, "name").is_string() ? text(key(file, "name")) : name;
  if (!key(file, "amqp").is_null()) out.amqp = read_amqp(key(file, "amqp"));
  if (!key(file, "xds").is_null()) out.xds = read_xds(key(file, "xds"));
  const bool listens = !out.amqp || !key(file, "listen").is_null();
  if (listens) out.listen = address_value(file, "listen", listen);
  if (!out.xds) out.changelog = address_value(file, "changelog", "");
  out.seed = read_seed(file);
  read_limits(key(file, "limits"), out);
  read_known(key(file, "known"), std::move(config_file.known_events), out);
  read_invoker_settings(required_object(file, "settings"), out);
  return out;
}

}  // namespace pathstack::config

#include "app/part_settings.h"

#include <algorithm>
#include <chrono>

namespace pathstack::app {
namespace {

constexpr std::size_t kOwnDescriptors = 20;  // standard streams, listener, membership log and so on
constexpr std::size_t kMemoryParts = 4;
constexpr std::size_t kDescriptorParts = 3;

std::size_t bytes_of_kb(std::size_t kb) { return kb << 10; }
std::size_t bytes_of_mb(std::size_t mb) { return mb << 20; }

}  // namespace

std::size_t memory_quarter(const config::Config& config) {
  return bytes_of_mb(config.memory_mb) / kMemoryParts;
}

hosts::Limits host_limits(const config::Config& config) {
  hosts::Limits limits;
  limits.connect_timeout = config.settings.connect_timeout;
  limits.idle_timeout = config.connection_idle;
  limits.order_timeout = config.settings.order_timeout;
  limits.allow_probes = config.settings.probes;
  limits.drain_grace = config.settings.drain_grace;
  limits.max_attempts_per_connection = config.attempts_per_connection;
  limits.max_connections = config.sockets / kDescriptorParts;
  limits.report_fields = config.report_fields;
  return limits;
}

resp::Front::Limits client_limits(const config::Config& config) {
  const std::size_t third = config.sockets / kDescriptorParts;
  resp::Front::Limits limits;
  limits.max_active = third;
  const std::size_t reserved = kOwnDescriptors + limits.max_closing;
  limits.max_pending = std::max<std::size_t>(third, reserved + kOwnDescriptors) - reserved;
  limits.max_body_bytes = memory_quarter(config);
  return limits;
}

amqp::BrokerSettings broker_settings(const config::AmqpConfig& config) {
  amqp::BrokerSettings broker;
  broker.address = config.broker;
  broker.user = config.user;
  broker.password = config.password;
  broker.vhost = config.vhost;
  broker.queues = config.queues;
  broker.prefetch = config.prefetch;
  broker.heartbeat = std::chrono::seconds(config.heartbeat_s);
  broker.max_body_bytes = bytes_of_kb(config.body_kb);
  return broker;
}

amqp::Front::Limits amqp_limits(const config::AmqpConfig& config) {
  return {config.open_calls, config.remembered, bytes_of_mb(config.remembered_mb)};
}

core::Millis longest_deadline(const core::Settings& settings) {
  core::Millis longest{0};
  for (const auto& call_class : settings.classes) longest = std::max(longest, call_class.deadline);
  return longest;
}

}  // namespace pathstack::app

#include "app/part_settings.h"

#include <algorithm>
#include <chrono>

namespace pathstack::app {
namespace {

constexpr std::size_t kOwnDescriptors = 20;  // standard streams, listener, membership log and so on
constexpr std::size_t kDescriptorParts = 3;
// Shares of the memory limit: one part in so many.
constexpr double kPeerMemoryParts = 2.5;
constexpr std::size_t kOutputParts = 4, kMembershipLineParts = 8;
// Shares of the memory for peers.
constexpr std::size_t kFunctionParts = 4, kCachedAnswerParts = 4;

std::size_t bytes_of_kb(std::size_t kb) { return kb << 10; }
std::size_t bytes_of_mb(std::size_t mb) { return mb << 20; }

}  // namespace

std::size_t peer_memory(const config::Config& config) {
  return static_cast<std::size_t>(static_cast<double>(bytes_of_mb(config.memory_mb)) / kPeerMemoryParts);
}

std::size_t max_output_blocks(const config::Config& config) {
  return bytes_of_mb(config.memory_mb) / kOutputParts / net::BufferPool::kBlockSize;
}

std::size_t max_membership_line(const config::Config& config) {
  return bytes_of_mb(config.memory_mb) / kMembershipLineParts;
}

core::Settings module_settings(const config::Config& config) {
  core::Settings settings = config.settings;
  settings.max_function_bytes = peer_memory(config) / kFunctionParts;
  return settings;
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

amqp::Front::Limits amqp_limits(const config::Config& config) {
  const config::AmqpConfig& amqp = *config.amqp;
  const std::size_t cached_bytes =
      std::min(bytes_of_mb(amqp.remembered_mb), peer_memory(config) / kCachedAnswerParts);
  return {amqp.open_calls, amqp.remembered, cached_bytes};
}

core::Millis longest_deadline(const core::Settings& settings) {
  core::Millis longest{0};
  for (const auto& call_class : settings.classes) longest = std::max(longest, call_class.deadline);
  return longest;
}

}  // namespace pathstack::app

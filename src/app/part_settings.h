/// Derives the settings and limits of each part of an invoker from the configuration.
#pragma once

#include <cstddef>

#include "amqp/front.h"
#include "config/config.h"
#include "core/types.h"
#include "hosts/connection_pool.h"
#include "resp/front.h"

namespace pathstack::app {

/// The bytes that peers may make the program hold in all, see `core::MemoryBudget`. The rest of the memory
/// limit is for the program itself, what unwritten bytes take beyond it, and the overhead of the allocator.
std::size_t peer_memory(const config::Config& config);

/// The number of blocks of `net::BufferPool`, which bound the unwritten bytes of all connections.
std::size_t max_output_blocks(const config::Config& config);

/// The length of the longest line of the membership log that is read, in bytes.
std::size_t max_membership_line(const config::Config& config);

/// The settings of the decision module, with its share of the memory.
core::Settings module_settings(const config::Config& config);

/// Limits of the connections to hosts, which may use a third of the descriptors.
hosts::Limits host_limits(const config::Config& config);

/// Limits of the connections of clients, which may use a third of the descriptors. The last third is for
/// connections that have not sent a request yet, minus the descriptors of the program itself and those of
/// connections that are being closed.
resp::Front::Limits client_limits(const config::Config& config);

/// Settings of the AMQP broker that calls are consumed from.
amqp::BrokerSettings broker_settings(const config::AmqpConfig& config);

/// Limits on the open calls and cached answers of the AMQP front, which must be configured. The answers get a
/// share of the memory for peers at most.
amqp::Front::Limits amqp_limits(const config::Config& config);

/// The longest deadline of any class of calls.
core::Millis longest_deadline(const core::Settings& settings);

}  // namespace pathstack::app

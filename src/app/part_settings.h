/// Derives the settings and limits of each part of an invoker from the configuration.
#pragma once

#include <cstddef>

#include "amqp/front.h"
#include "config/config.h"
#include "core/types.h"
#include "hosts/connection_pool.h"
#include "resp/front.h"

namespace pathstack::app {

/// A quarter of the memory limit, in bytes: the bound on unwritten bytes, on bodies of open calls, and on one
/// line of the membership log, each.
std::size_t memory_quarter(const config::Config& config);

/// Limits of the connections to hosts, which may use a third of the descriptors.
hosts::Limits host_limits(const config::Config& config);

/// Limits of the connections of clients, which may use a third of the descriptors. The last third is for
/// connections that have not sent a request yet, minus the descriptors of the program itself and those of
/// connections that are being closed.
resp::Front::Limits client_limits(const config::Config& config);

/// Settings of the AMQP broker that calls are consumed from.
amqp::BrokerSettings broker_settings(const config::AmqpConfig& config);

/// Limits on the open calls and cached answers of the AMQP front.
amqp::Front::Limits amqp_limits(const config::AmqpConfig& config);

/// The longest deadline of any class of calls.
core::Millis longest_deadline(const core::Settings& settings);

}  // namespace pathstack::app

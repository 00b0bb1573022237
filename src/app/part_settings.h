// What the configuration means for each part of an invoker.
#pragma once

#include <cstddef>

#include "amqp/front.h"
#include "config/config.h"
#include "core/types.h"
#include "hosts/connection_pool.h"
#include "resp/front.h"

namespace pathstack::app {

/// The bound on each of these: unwritten bytes, bodies of open calls, one line of the membership log. A
/// quarter of the memory limit, in bytes.
std::size_t memory_quarter(const config::Config& config);

/// The limits of connections to hosts, which may use a third of the descriptors.
hosts::Limits host_limits(const config::Config& config);

/// The limits of clients' connections. They may use a third of the descriptors; the last third is for
/// connections that have not sent a request yet, less what the program itself holds and what connections that
/// are being closed may hold.
resp::Front::Limits client_limits(const config::Config& config);

/// Where AMQP triggers come from.
amqp::BrokerSettings broker_settings(const config::AmqpConfig& config);

/// The bounds on what AMQP triggers hold.
amqp::Front::Limits amqp_limits(const config::AmqpConfig& config);

/// The longest deadline of any class of calls.
core::Millis longest_deadline(const core::Settings& settings);

}  // namespace pathstack::app

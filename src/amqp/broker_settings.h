/// Settings of the connection to an AMQP 0-9-1 broker.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pathstack::amqp {

/// Address, credentials and consumer limits of one broker connection, as configured by the operator.
struct BrokerSettings {
  std::string address;  // numeric IP address with a port
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;        // one consumer is started on each
  std::uint16_t prefetch = 32;            // limit on unacknowledged deliveries (basic.qos)
  std::chrono::seconds heartbeat{10};     // proposed in connection.tune; 0 accepts the broker's interval
  std::size_t max_body_bytes = 16 << 10;  // longer bodies are discarded and the call fails
};

}  // namespace pathstack::amqp

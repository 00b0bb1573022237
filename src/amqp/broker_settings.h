// How the invoker reaches its broker and consumes from it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pathstack::amqp {

/// The connection and its consumers, as the operator configures them.
struct BrokerSettings {
  std::string address;  // numeric, with a port
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;        // one consumer each
  std::uint16_t prefetch = 32;            // deliveries that may be unacknowledged (basic.qos)
  std::chrono::seconds heartbeat{10};     // what is asked for in connection.tune; 0: what the broker wants
  std::size_t max_body_bytes = 16 << 10;  // longer bodies are not kept
};

}  // namespace pathstack::amqp

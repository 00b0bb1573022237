// The names under which brokers know this client.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pathstack::amqp {

/// The client property `product` of connection.start-ok. Brokers show it in their lists of connections and
/// operators have policies and alarms that go by it: it stays, although the program is called otherwise now.
constexpr std::string_view kProductName = "lotusyard";

/// What the consumer tags begin with; kept for the same reason as `kProductName`.
constexpr std::string_view kConsumerTagPrefix = "lotusyard-";

/// The consumer tag for the queue at `queue_index` in the configuration. Unique within a channel.
inline std::string consumer_tag(std::size_t queue_index) {
  return std::string(kConsumerTagPrefix) + std::to_string(queue_index);
}

}  // namespace pathstack::amqp

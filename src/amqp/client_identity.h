/// The product name and consumer tags that identify this client to a broker.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pathstack::amqp {

/// The client property `product` of connection.start-ok. Differs from the program's present name on purpose:
/// brokers show the property in their connection lists, and operators have policies and alarms that match it.
constexpr std::string_view kProductName = "lotusyard";

/// The prefix of consumer tags, which operators' policies and alarms match as well.
constexpr std::string_view kConsumerTagPrefix = "lotusyard-";

/// Returns the consumer tag for the queue at `queue_index` in the configuration. Unique within a channel.
inline std::string consumer_tag(std::size_t queue_index) {
  return std::string(kConsumerTagPrefix) + std::to_string(queue_index);
}

}  // namespace pathstack::amqp

/// The AMQP 0-9-1 connection handshake, from connection.start to running consumers on one channel.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "amqp/broker_settings.h"
#include "amqp/field_codec.h"
#include "amqp/method.h"
#include "core/counter.h"

namespace pathstack::amqp {

/// The channel number of methods that concern the whole connection (AMQP 0-9-1, 4.2.3).
constexpr std::uint16_t kConnectionChannel = 0;

/// The number of the only channel that this client opens.
constexpr std::uint16_t kChannel = 1;

/// The frame size that every peer must accept, in octets (`frame-min-size` of the specification).
constexpr std::uint32_t kMinFrameSize = 4096;

/// Output interface for methods sent to the broker.
class MethodSink {
 public:
  MethodSink() = default;
  virtual ~MethodSink() = default;
  MethodSink(const MethodSink&) = delete;
  MethodSink& operator=(const MethodSink&) = delete;
  virtual void write_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments) = 0;
};

/// Parameters negotiated in connection.tune.
struct ConnectionTuning {
  std::uint32_t max_frame_size = kMinFrameSize;  // octets, with frame header and end octet
  std::chrono::seconds heartbeat{0};             // 0: no heartbeats
};

/// State machine of the client's side of the handshake: connection.start, tune and open, channel.open,
/// confirm.select, basic.qos, then basic.consume for each queue. The broker must reply in this order.
///
/// Owned by Channel, which passes in the broker's handshake methods and writes the replies. Does no I/O and
/// has no timer. Each call is O(1), except basic.qos-ok, which is linear in the number of queues.
class ConnectionSetup {
 public:
  /// Both references must outlive this object.
  ConnectionSetup(const BrokerSettings& broker, MethodSink& out) : broker_(broker), out_(out) {}

  /// Handles one handshake method from the broker and writes the client's next one. Returns the counter of
  /// the reason if the connection must end, otherwise nothing. The caller checks `arguments` for truncation.
  std::optional<core::Counter> handle(Method method, ArgumentReader& arguments);

  /// True once the broker has confirmed all consumers.
  bool complete() const { return state_ == State::complete; }

  /// Valid once connection.tune has been handled.
  const ConnectionTuning& tuning() const { return tuning_; }

 private:
  using Failure = std::optional<core::Counter>;
  /// Each state is named after the method that the broker must send next.
  enum class State {
    connection_start,
    connection_tune,
    connection_open_ok,
    channel_open_ok,
    confirm_select_ok,
    basic_qos_ok,
    basic_consume_ok,
    complete
  };

  const BrokerSettings& broker_;
  MethodSink& out_;
  State state_ = State::connection_start;
  ConnectionTuning tuning_;
  std::size_t running_consumers_ = 0;

  Failure advance(State expected, State next);
  Failure on_connection_start(ArgumentReader& arguments);
  Failure on_connection_tune(ArgumentReader& arguments);
  Failure on_connection_open_ok();
  Failure on_channel_open_ok();
  Failure on_confirm_select_ok();
  Failure on_basic_qos_ok();
  Failure on_basic_consume_ok();
};

}  // namespace pathstack::amqp

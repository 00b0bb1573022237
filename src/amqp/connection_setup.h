// The set-up of a connection with one channel on it, from the protocol header to running consumers.
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

/// The channel number for methods of the connection itself (AMQP 0-9-1, 4.2.3).
constexpr std::uint16_t kConnectionChannel = 0;

/// The one channel that is opened.
constexpr std::uint16_t kChannel = 1;

/// The smallest frame that every peer has to accept, in octets (`frame-min-size`).
constexpr std::uint32_t kMinFrameSize = 4096;

/// Where methods are written to.
class MethodSink {
 public:
  MethodSink() = default;
  virtual ~MethodSink() = default;
  MethodSink(const MethodSink&) = delete;
  MethodSink& operator=(const MethodSink&) = delete;
  virtual void write_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments) = 0;
};

/// What client and broker agreed on in connection.tune.
struct ConnectionTuning {
  std::uint32_t max_frame_size = kMinFrameSize;  // in octets, overhead included
  std::chrono::seconds heartbeat{0};             // 0: no heartbeats
};

/// The client's side of the set-up: start, tune, open, channel.open, confirm.select, basic.qos, and
/// basic.consume for each queue. The broker has to answer in this order.
///
/// Owned by Channel, which hands it the methods of the set-up and writes what it answers. No I/O and no timer
/// of its own. Each call is O(1), but for the last step: the number of queues.
class ConnectionSetup {
 public:
  /// Both references must outlive this object.
  ConnectionSetup(const BrokerSettings& broker, MethodSink& out) : broker_(broker), out_(out) {}

  /// Takes one method of the set-up from the broker and writes the next one of the client. Returns why the
  /// connection has to end, or nothing. The caller checks `arguments` for truncation.
  std::optional<core::Counter> handle(Method method, ArgumentReader& arguments);

  /// True once all consumers run.
  bool complete() const { return state_ == State::complete; }

  /// Valid once connection.tune was handled.
  const ConnectionTuning& tuning() const { return tuning_; }

 private:
  using Failure = std::optional<core::Counter>;
  /// Named after what the broker has to send next.
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

// One connection to a broker with one channel on it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amqp/broker_settings.h"
#include "amqp/connection_setup.h"
#include "amqp/content_assembler.h"
#include "amqp/frame.h"
#include "amqp/heartbeat.h"
#include "core/counters.h"
#include "net/stream.h"

namespace pathstack::amqp {

/// A publishing's number on its channel, counted from 1 as publisher confirms do.
enum class PublishSequence : std::uint64_t {};

/// What a broker says of publishings (RabbitMQ's extension of AMQP 0-9-1: basic.ack and basic.nack to the
/// publisher).
struct PublisherConfirm {
  enum class Outcome { acked, nacked };
  PublishSequence sequence{};
  bool multiple = false;  // all up to `sequence`; all so far, if that is 0
  Outcome outcome = Outcome::acked;
};

/// Reads the arguments of a confirm; nothing if they are cut short.
std::optional<PublisherConfirm> read_confirm(PublisherConfirm::Outcome outcome, ArgumentReader& arguments);

/// Is notified of what comes from the broker, on the loop's thread.
class ChannelListener {
 public:
  ChannelListener() = default;
  virtual ~ChannelListener() = default;
  ChannelListener(const ChannelListener&) = delete;
  ChannelListener& operator=(const ChannelListener&) = delete;
  /// The consumers run and answers may be published; called again when the broker ends a pause.
  virtual void on_channel_up() = 0;
  virtual void on_delivery(Delivery&& delivery) = 0;
  virtual void on_publisher_confirm(const PublisherConfirm& confirm) = 0;
  /// The connection has ended or never came up. Called once, the last of all calls.
  virtual void on_channel_down() = 0;
};

/// A connection with one channel: set up, consumed from, published to with publisher confirms, and watched by
/// heartbeats.
///
/// Owned by Front, which makes a new one for each connection; used on the loop's thread. A fault of the
/// broker, or a set-up that takes too long, is counted under its reason and ends the connection; nothing
/// that follows in the same bytes is looked at. Cost of each call: the bytes written or read.
class Channel final : public net::Stream, private MethodSink {
 public:
  /// Begins with the protocol header as soon as `socket` is connected. `broker` and `listener` must outlive
  /// the channel.
  Channel(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const BrokerSettings& broker,
          ChannelListener& listener, net::Socket socket);
  ~Channel() override;
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// True while deliveries may come and be acknowledged.
  bool is_up() const { return is_set_up() && !ending(); }

  /// True unless the channel is down or the broker has asked for a pause (channel.flow).
  bool may_publish() const { return is_up() && flow_active_; }

  /// Publishes to `queue` by way of the default exchange. The result is what the confirm will name.
  PublishSequence publish(const std::string& queue, const BasicProperties& properties, std::string_view body);

  /// Acknowledges a delivery: the broker forgets it.
  void ack(DeliveryTag tag);

  /// Rejects a delivery without requeueing: it is dropped or dead-lettered, as the queue says.
  void reject(DeliveryTag tag);

  /// Asks for no further deliveries; what was delivered can still be answered.
  void cancel_consumers();

  /// Closes the connection in order: it ends once the broker has answered, or at once if it was not up.
  void close();

 private:
  /// Whether the frames that follow may be looked at.
  enum class FrameAction { proceed, stop };

  core::Counters& counters_;
  const BrokerSettings& broker_;
  ChannelListener& listener_;
  FrameParser parser_;
  ConnectionSetup setup_;
  ContentAssembler content_;
  Heartbeat heartbeat_;
  net::Loop::TimerId setup_timer_{};
  std::uint64_t published_count_ = 0;
  bool flow_active_ = true;  // not paused by channel.flow
  bool closing_ = false;     // connection.close was sent

  bool is_set_up() const { return setup_.complete() && !closing_; }
  void connected() override;
  void received(std::string_view bytes) override;
  void ended() override;
  void write_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments) override;

  FrameAction on_frame(const Frame& frame);
  FrameAction on_method_frame(const Frame& frame);
  FrameAction on_method(Method method, ArgumentReader& arguments);
  FrameAction on_setup_method(Method method, ArgumentReader& arguments);
  FrameAction on_content_frame(const Frame& frame);
  FrameAction on_deliver(ArgumentReader& arguments);
  FrameAction on_return();
  FrameAction on_confirm(PublisherConfirm::Outcome outcome, ArgumentReader& arguments);
  FrameAction on_flow(ArgumentReader& arguments);
  FrameAction on_channel_close();
  FrameAction on_connection_close();
  FrameAction on_connection_close_ok();
  void apply_tuning();
  void on_setup_complete();
  FrameAction fail_connection(core::Counter reason);
};

}  // namespace pathstack::amqp

/// A broker connection that carries a single AMQP channel.
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

/// The sequence number of a published message on its channel. Starts at 1, as publisher confirms count.
enum class PublishSequence : std::uint64_t {};

/// A publisher confirm: basic.ack or basic.nack sent by the broker to the publisher, RabbitMQ's extension of
/// AMQP 0-9-1.
struct PublisherConfirm {
  enum class Outcome { acked, nacked };
  PublishSequence sequence{};
  bool multiple = false;  // covers all messages up to `sequence`, or all so far if `sequence` is 0
  Outcome outcome = Outcome::acked;
};

/// Reads the arguments of a publisher confirm. Returns nothing if they are truncated.
std::optional<PublisherConfirm> read_confirm(PublisherConfirm::Outcome outcome, ArgumentReader& arguments);

/// Receives the events of a channel, on the loop's thread.
class ChannelListener {
 public:
  ChannelListener() = default;
  virtual ~ChannelListener() = default;
  ChannelListener(const ChannelListener&) = delete;
  ChannelListener& operator=(const ChannelListener&) = delete;
  /// The consumers are running and answers may be published. Called again when the broker resumes a paused
  /// channel (channel.flow).
  virtual void on_channel_up() = 0;
  virtual void on_delivery(Delivery&& delivery) = 0;
  virtual void on_publisher_confirm(const PublisherConfirm& confirm) = 0;
  /// The connection has ended or could not be established. Called once, after all other events.
  virtual void on_channel_down() = 0;
};

/// A broker connection with one channel: performs the handshake, consumes, publishes with publisher confirms,
/// and exchanges heartbeats.
///
/// Owned by Front, which creates a new Channel for each connection; used on the loop's thread. A protocol
/// error of the broker or a handshake timeout increments the counter of its reason and ends the connection;
/// the rest of the bytes already read is ignored. Each call is linear in the bytes written or read.
class Channel final : public net::Stream, private MethodSink {
 public:
  /// Sends the protocol header as soon as `socket` is connected. All references must outlive the channel.
  Channel(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const BrokerSettings& broker,
          ChannelListener& listener, net::Socket socket);
  ~Channel() override;
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// True while deliveries may arrive and be acknowledged.
  bool is_up() const { return is_set_up() && !ending(); }

  /// True while the channel is up and not paused by the broker (channel.flow).
  bool may_publish() const { return is_up() && flow_active_; }

  /// Publishes to `queue` through the default exchange. Returns the sequence number that the publisher
  /// confirm will carry.
  PublishSequence publish(const std::string& queue, const BasicProperties& properties, std::string_view body);

  /// Acknowledges a delivery, so that the broker removes the message from its queue.
  void ack(DeliveryTag tag);

  /// Rejects a delivery without requeue: the broker drops or dead-letters the message, depending on the
  /// queue.
  void reject(DeliveryTag tag);

  /// Cancels all consumers. Messages that were already delivered can still be answered.
  void cancel_consumers();

  /// Closes the connection gracefully with connection.close: the connection ends once the broker has replied,
  /// or immediately if the channel was not up.
  void close();

 private:
  /// Whether to process the frames that follow.
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
  bool flow_active_ = true;  // false while paused by channel.flow
  bool closing_ = false;     // connection.close has been sent

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

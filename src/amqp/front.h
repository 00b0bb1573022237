// Calls from a message broker: deliveries are calls, and their answers are published to where they say.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "amqp/broker_settings.h"
#include "amqp/channel.h"
#include "amqp/idempotency_cache.h"
#include "amqp/reply_publisher.h"
#include "core/counters.h"
#include "core/dispatcher.h"
#include "net/loop.h"

namespace pathstack::amqp {

/// Takes deliveries from a broker to the dispatcher and answers to the broker, and keeps a connection up.
///
/// A broker delivers at least once. A call runs once all the same for as long as it is in the cache: a
/// further delivery waits for the answer of the call that runs, or gets the answer that is cached. A delivery
/// is acknowledged after its answer was confirmed; a connection that ends before that brings it again.
///
/// Owned by Invoker; used on the loop's thread. Owns the channel, the cache and the reconnect timer.
class Front final : public core::Front, private ChannelListener {
 public:
  struct Limits {
    std::size_t open_calls = 256;      // further ones are refused
    std::size_t cached_calls = 10000;  // completed ones, see IdempotencyCache
    std::size_t cached_bytes = 16U << 20;
  };

  /// The references must outlive the front.
  Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
        const core::Settings& settings, BrokerSettings broker, Limits limits);
  ~Front() override;
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Begins to connect; from then on the front reconnects by itself, with a backoff.
  void start() { connect(); }

  /// Begins a graceful shutdown: no further deliveries and no new connection; what was taken is answered.
  void drain();

  /// True if no call runs and all answers that can be given on this connection are confirmed.
  bool done() const;

  /// Closes the connection in order.
  void close();

  /// The dispatcher's answer to a call; calls that are not open are ignored.
  void answer(core::CallId call, core::Answer&& answer) override;

 private:
  /// A delivery that can be answered, and the call that it asks for.
  struct Request {
    CallKey key;
    PendingReply reply;
    bool redelivered = false;
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Dispatcher& dispatcher_;
  core::Counters& counters_;
  core::Settings settings_;
  BrokerSettings broker_;
  Limits limits_;
  IdempotencyCache cache_;
  ReplyPublisher replies_;
  std::shared_ptr<Channel> channel_;
  std::unordered_map<core::CallId, CallKey> running_;
  net::Loop::TimerId reconnect_timer_{};
  core::Millis reconnect_delay_{0};
  std::uint64_t last_ref_ = 0;
  bool draining_ = false;

  void connect();
  void on_channel_up() override;
  void on_channel_down() override;
  void on_delivery(Delivery&& delivery) override;
  void on_publisher_confirm(const PublisherConfirm& confirm) override;

  bool answer_duplicate(const Request& request);
  void start_call(const Request& request, Delivery&& delivery);
  void dispatch(const Request& request, core::Call&& call, bool at_most_once);
  void answer_without_running(const Request& request, bool at_most_once, core::CallStatus status,
                              core::Counter reason);
};

}  // namespace pathstack::amqp

/// Front for calls from a message broker: each delivery is a call, whose answer is published to its reply-to
/// queue.
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
#include "core/memory_budget.h"
#include "net/loop.h"

namespace pathstack::amqp {

/// Passes deliveries from the broker to the dispatcher and publishes the answers. Reconnects when the
/// connection ends.
///
/// A broker delivers each message at least once. Repeated deliveries are deduplicated while the call is in
/// the idempotency cache: a further delivery waits for the answer of the running call or gets the cached
/// answer. The exception is a client's retry of a call that was refused, or that failed and is not
/// at-most-once: the call runs again. A delivery is acknowledged after the broker has confirmed its answer;
/// if the connection ends earlier, the broker redelivers the message.
///
/// Owned by Invoker; used on the loop's thread. Owns the channel, the cache and the reconnect timer.
class Front final : public core::Front, private ChannelListener {
 public:
  struct Limits {
    std::size_t open_calls = 256;      // further calls are refused
    std::size_t cached_calls = 10000;  // completed calls, see IdempotencyCache
    std::size_t cached_bytes = 16U << 20;
  };

  /// The references to `loop`, `pool`, `dispatcher` and `counters` must outlive the front.
  Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
        const core::Settings& settings, BrokerSettings broker, Limits limits);
  ~Front() override;
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Takes calls only while `budget`, which must outlive the front, admits them, and reports to it what the
  /// broker's calls hold. Without a budget, memory is not limited.
  void set_memory_budget(core::MemoryBudget& budget);

  /// Connects, and reconnects with exponential backoff from then on.
  void start() { connect(); }

  /// Begins a graceful shutdown: stops consuming and reconnecting. Calls already taken are still answered.
  void drain();

  /// True if no call is running and the broker has confirmed all answers that can be published on this
  /// connection.
  bool done() const;

  /// Closes the connection gracefully.
  void close();

  /// Called by the dispatcher with the answer to a call. Ignores calls that are not open.
  void answer(core::CallId call, core::Answer&& answer) override;

 private:
  /// A delivery with a reply address, and the key of the call that it requests.
  struct Request {
    CallKey key;
    PendingReply reply;
    bool redelivered = false;
  };

  /// An open call, and the memory that it holds in bytes.
  struct RunningCall {
    CallKey key;
    std::size_t bytes = 0;
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
  std::unordered_map<core::CallId, RunningCall> running_;
  std::size_t running_bytes_ = 0;  // held by the calls in `running_`
  const core::MemoryBudget* memory_ = nullptr;
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
  bool has_memory_for(const core::Call& call) const;
  void answer_without_running(const Request& request, bool at_most_once, core::CallStatus status,
                              core::Counter reason);
};

}  // namespace pathstack::amqp

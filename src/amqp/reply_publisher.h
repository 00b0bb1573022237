/// Publishes answers with publisher confirms, and acknowledges the deliveries once their answers are
/// confirmed.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "amqp/channel.h"
#include "amqp/idempotency_cache.h"
#include "core/counters.h"
#include "net/loop.h"

namespace pathstack::amqp {

/// Publishes each answer to each of its addresses. A delivery is acknowledged only once the broker has
/// confirmed the answer: after an earlier acknowledgement the answer could be lost in the broker.
///
/// Owned by Front; used on the loop's thread. Holds at most one answer per unacknowledged delivery, so the
/// prefetch bounds their number. `cache` must hold a completed call for each key passed to `reply`, and must
/// outlive this object.
class ReplyPublisher {
 public:
  ReplyPublisher(net::Loop& loop, core::Counters& counters, IdempotencyCache& cache)
      : loop_(loop), counters_(counters), cache_(cache) {}
  ~ReplyPublisher();
  ReplyPublisher(const ReplyPublisher&) = delete;
  ReplyPublisher& operator=(const ReplyPublisher&) = delete;

  /// Sets the channel to publish on. `channel` must live until `detach`.
  void attach(Channel& channel) { channel_ = &channel; }

  /// Discards the channel and all unconfirmed answers: their sequence numbers and delivery tags ended with
  /// the channel, and the broker will redeliver the messages.
  void detach();

  /// Answers one delivery of a completed call. If the answer is already being published to the same address,
  /// the delivery is acknowledged by the same confirm. A redelivery whose answer was confirmed at that
  /// address is only acknowledged. Linear in the number of unconfirmed answers. Requires a channel.
  void reply(const CallKey& key, const PendingReply& delivery, bool redelivered);

  /// Acknowledges the deliveries of acked answers, and republishes nacked answers after a delay. Requires a
  /// channel.
  void on_publisher_confirm(const PublisherConfirm& confirm);

  /// Publishes queued answers while the channel permits publishing.
  void publish_unsent();

  /// The size of the bodies of all answers that are queued or unconfirmed, in bytes.
  std::size_t held_bytes() const { return held_bytes_; }

  /// True while answers are queued for publishing.
  bool has_unsent() const { return !unsent_.empty(); }

  /// True if all answers have been confirmed.
  bool idle() const { return unconfirmed_.empty() && unsent_.empty(); }

 private:
  struct OutgoingReply {
    CallKey key;
    ReplyAddress address;
    std::shared_ptr<const core::Answer> answer;
    std::vector<DeliveryTag> tags;  // deliveries to acknowledge once the broker confirms the answer
  };

  net::Loop& loop_;
  core::Counters& counters_;
  IdempotencyCache& cache_;
  Channel* channel_ = nullptr;
  std::map<PublishSequence, OutgoingReply> unconfirmed_;
  std::deque<OutgoingReply> unsent_;  // nacked, or queued while the channel is paused
  std::size_t held_bytes_ = 0;        // bodies in `unconfirmed_` and `unsent_`
  net::Loop::TimerId republish_timer_{};

  OutgoingReply* find_in_progress(const CallKey& key, const ReplyAddress& address,
                                  const std::shared_ptr<const core::Answer>& answer);
  void publish(OutgoingReply&& outgoing);
  void keep_unsent(OutgoingReply&& outgoing);
  std::vector<OutgoingReply> take_settled(const PublisherConfirm& confirm);
  void on_acked(const OutgoingReply& outgoing);
  void on_nacked(OutgoingReply&& outgoing);
};

}  // namespace pathstack::amqp

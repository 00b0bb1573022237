// Publishes answers with publisher confirms and acknowledges the deliveries that they answer.
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

/// Brings each answer to each of its addresses, and acknowledges a delivery only once the broker has
/// confirmed the answer: a delivery acknowledged earlier could lose its answer with the broker.
///
/// Owned by Front; used on the loop's thread. Holds at most one answer for each delivery that is not
/// acknowledged, which the prefetch bounds. `cache` must hold a completed call for each key that is replied
/// to, and outlive this object.
class ReplyPublisher {
 public:
  ReplyPublisher(net::Loop& loop, core::Counters& counters, IdempotencyCache& cache)
      : loop_(loop), counters_(counters), cache_(cache) {}
  ~ReplyPublisher();
  ReplyPublisher(const ReplyPublisher&) = delete;
  ReplyPublisher& operator=(const ReplyPublisher&) = delete;

  /// Uses `channel` from now on, which must live until `detach`.
  void attach(Channel& channel) { channel_ = &channel; }

  /// The channel has gone, and with it its sequence numbers and delivery tags: what was not confirmed is
  /// forgotten, as its deliveries come again.
  void detach();

  /// Answers one delivery of a completed call. A delivery whose answer is under way to the same address
  /// shares its confirm; a redelivery whose answer was confirmed there is only acknowledged. Cost: the number
  /// of answers not confirmed. Needs a channel.
  void reply(const CallKey& key, const PendingReply& delivery, bool redelivered);

  /// Acknowledges the deliveries whose answers are confirmed; answers that were refused are published again
  /// after a pause. Needs a channel.
  void on_publisher_confirm(const PublisherConfirm& confirm);

  /// Publishes what waits, as far as the channel takes it.
  void publish_unsent();

  /// True while answers wait to be published.
  bool has_unsent() const { return !unsent_.empty(); }

  /// True if all answers are confirmed.
  bool idle() const { return unconfirmed_.empty() && unsent_.empty(); }

 private:
  struct OutgoingReply {
    CallKey key;
    ReplyAddress address;
    std::shared_ptr<const core::Answer> answer;
    std::vector<DeliveryTag> tags;  // acknowledged once the broker has the answer
  };

  net::Loop& loop_;
  core::Counters& counters_;
  IdempotencyCache& cache_;
  Channel* channel_ = nullptr;
  std::map<PublishSequence, OutgoingReply> unconfirmed_;
  std::deque<OutgoingReply> unsent_;  // nacked by the broker, or it has asked for a pause
  net::Loop::TimerId republish_timer_{};

  OutgoingReply* find_in_progress(const CallKey& key, const ReplyAddress& address,
                                  const std::shared_ptr<const core::Answer>& answer);
  void publish(OutgoingReply&& outgoing);
  std::vector<OutgoingReply> take_settled(const PublisherConfirm& confirm);
  void on_acked(const OutgoingReply& outgoing);
  void on_nacked(OutgoingReply&& outgoing);
};

}  // namespace pathstack::amqp

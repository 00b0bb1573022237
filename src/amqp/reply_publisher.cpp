#include "amqp/reply_publisher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "amqp/call_codec.h"

namespace pathstack::amqp {
namespace {

constexpr core::Millis kRepublishDelay{200};
constexpr std::size_t kMaxConfirmedAddresses = 8;  // per call

}  // namespace

ReplyPublisher::~ReplyPublisher() { loop_.cancel(republish_timer_); }

void ReplyPublisher::detach() {
  channel_ = nullptr;
  unconfirmed_.clear();
  unsent_.clear();
  held_bytes_ = 0;
}

void ReplyPublisher::reply(const CallKey& key, const PendingReply& delivery, bool redelivered) {
  const CachedCall& call = *cache_.find(key);
  if (OutgoingReply* in_progress = find_in_progress(key, delivery.address, call.answer)) {
    in_progress->tags.push_back(delivery.tag);
    return;
  }
  const auto& confirmed = call.confirmed;
  const bool already_confirmed =
      std::find(confirmed.begin(), confirmed.end(), delivery.address) != confirmed.end();
  const bool only_ack_was_lost = already_confirmed && redelivered;
  if (only_ack_was_lost) return channel_->ack(delivery.tag);
  publish({key, delivery.address, call.answer, {delivery.tag}});
}

// Compares the answers as well: a call that a client retries after a refusal gets an answer of its own, even
// if the refusal has not been confirmed yet.
ReplyPublisher::OutgoingReply* ReplyPublisher::find_in_progress(
    const CallKey& key, const ReplyAddress& address, const std::shared_ptr<const core::Answer>& answer) {
  const auto is_same = [&](const OutgoingReply& outgoing) {
    return outgoing.key == key && outgoing.address == address && outgoing.answer == answer;
  };
  for (auto& [sequence, outgoing] : unconfirmed_) {
    if (is_same(outgoing)) return &outgoing;
  }
  for (auto& outgoing : unsent_) {
    if (is_same(outgoing)) return &outgoing;
  }
  return nullptr;
}

void ReplyPublisher::publish(OutgoingReply&& outgoing) {
  if (!channel_->may_publish()) return keep_unsent(std::move(outgoing));
  const BasicProperties properties = encode_answer(*outgoing.answer, outgoing.key, outgoing.address);
  const PublishSequence sequence =
      channel_->publish(outgoing.address.reply_to, properties, outgoing.answer->body);
  held_bytes_ += outgoing.answer->body.size();
  unconfirmed_.emplace(sequence, std::move(outgoing));
}

void ReplyPublisher::keep_unsent(OutgoingReply&& outgoing) {
  held_bytes_ += outgoing.answer->body.size();
  unsent_.push_back(std::move(outgoing));
}

void ReplyPublisher::publish_unsent() {
  for (std::size_t left = unsent_.size(); left > 0; --left) {
    if (channel_ == nullptr || !channel_->may_publish()) return;
    OutgoingReply next = std::move(unsent_.front());
    unsent_.pop_front();
    held_bytes_ -= next.answer->body.size();
    publish(std::move(next));
  }
}

void ReplyPublisher::on_publisher_confirm(const PublisherConfirm& confirm) {
  for (auto& outgoing : take_settled(confirm)) {
    if (confirm.outcome == PublisherConfirm::Outcome::acked) {
      on_acked(outgoing);
    } else {
      on_nacked(std::move(outgoing));
    }
  }
}

// Returns nothing for an unknown sequence number.
std::vector<ReplyPublisher::OutgoingReply> ReplyPublisher::take_settled(const PublisherConfirm& confirm) {
  const bool covers_all = confirm.multiple && confirm.sequence == PublishSequence{0};
  auto first = unconfirmed_.begin();
  auto last = unconfirmed_.end();
  if (!confirm.multiple) {
    std::tie(first, last) = unconfirmed_.equal_range(confirm.sequence);
  } else if (!covers_all) {
    last = unconfirmed_.upper_bound(confirm.sequence);
  }
  std::vector<OutgoingReply> settled;
  for (auto i = first; i != last; ++i) {
    held_bytes_ -= i->second.answer->body.size();
    settled.push_back(std::move(i->second));
  }
  unconfirmed_.erase(first, last);
  return settled;
}

void ReplyPublisher::on_acked(const OutgoingReply& outgoing) {
  if (CachedCall* call = cache_.find(outgoing.key)) {
    if (call->confirmed.size() >= kMaxConfirmedAddresses) call->confirmed.erase(call->confirmed.begin());
    call->confirmed.push_back(outgoing.address);
  }
  for (const DeliveryTag tag : outgoing.tags) channel_->ack(tag);
}

void ReplyPublisher::on_nacked(OutgoingReply&& outgoing) {
  counters_.add(core::Counter::amqp_nacked);
  keep_unsent(std::move(outgoing));
  loop_.cancel(republish_timer_);
  republish_timer_ = loop_.at(loop_.now() + kRepublishDelay, [this] { publish_unsent(); });
}

}  // namespace pathstack::amqp

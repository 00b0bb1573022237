#include "amqp/reply_publisher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "amqp/call_codec.h"

namespace pathstack::amqp {
namespace {

constexpr core::Millis kRepublishDelay{200};
constexpr std::size_t kMaxConfirmedAddresses = 8;  // kept for one call

}  // namespace

ReplyPublisher::~ReplyPublisher() { loop_.cancel(republish_timer_); }

void ReplyPublisher::detach() {
  channel_ = nullptr;
  unconfirmed_.clear();
  unsent_.clear();
}

void ReplyPublisher::reply(const CallKey& key, const PendingReply& delivery, bool redelivered) {
  const CachedCall& call = *cache_.find(key);
  if (Publishing* same = find_in_progress(key, delivery.address, call.answer)) {
    same->tags.push_back(delivery.tag);
    return;
  }
  const auto& confirmed = call.confirmed;
  const bool has_answer = std::find(confirmed.begin(), confirmed.end(), delivery.address) != confirmed.end();
  const bool only_ack_was_lost = has_answer && redelivered;
  if (only_ack_was_lost) return channel_->ack(delivery.tag);
  publish({key, delivery.address, call.answer, {delivery.tag}});
}

// The answers are compared too: a call sent anew after a refusal has an answer of its own, also while the
// refusal is not confirmed yet.
ReplyPublisher::Publishing* ReplyPublisher::find_in_progress(
    const CallKey& key, const ReplyAddress& address, const std::shared_ptr<const core::Answer>& answer) {
  const auto is_same = [&](const Publishing& publishing) {
    return publishing.key == key && publishing.address == address && publishing.answer == answer;
  };
  for (auto& [sequence, publishing] : unconfirmed_) {
    if (is_same(publishing)) return &publishing;
  }
  for (auto& publishing : unsent_) {
    if (is_same(publishing)) return &publishing;
  }
  return nullptr;
}

void ReplyPublisher::publish(Publishing&& publishing) {
  if (!channel_->may_publish()) {
    unsent_.push_back(std::move(publishing));
    return;
  }
  const BasicProperties properties = encode_answer(*publishing.answer, publishing.key, publishing.address);
  const PublishSequence sequence =
      channel_->publish(publishing.address.reply_to, properties, publishing.answer->body);
  unconfirmed_.emplace(sequence, std::move(publishing));
}

void ReplyPublisher::publish_unsent() {
  for (std::size_t left = unsent_.size(); left > 0; --left) {
    if (channel_ == nullptr || !channel_->may_publish()) return;
    Publishing next = std::move(unsent_.front());
    unsent_.pop_front();
    publish(std::move(next));
  }
}

void ReplyPublisher::on_publisher_confirm(const PublisherConfirm& confirm) {
  for (auto& publishing : take_settled(confirm)) {
    if (confirm.outcome == PublisherConfirm::Outcome::acked) {
      on_acked(publishing);
    } else {
      on_nacked(std::move(publishing));
    }
  }
}

// A sequence number that is not known here gives nothing.
std::vector<ReplyPublisher::Publishing> ReplyPublisher::take_settled(const PublisherConfirm& confirm) {
  const bool all_so_far = confirm.multiple && confirm.sequence == PublishSequence{0};
  auto first = unconfirmed_.begin();
  auto last = unconfirmed_.end();
  if (!confirm.multiple) {
    std::tie(first, last) = unconfirmed_.equal_range(confirm.sequence);
  } else if (!all_so_far) {
    last = unconfirmed_.upper_bound(confirm.sequence);
  }
  std::vector<Publishing> settled;
  for (auto i = first; i != last; ++i) settled.push_back(std::move(i->second));
  unconfirmed_.erase(first, last);
  return settled;
}

void ReplyPublisher::on_acked(const Publishing& publishing) {
  if (CachedCall* call = cache_.find(publishing.key)) {
    if (call->confirmed.size() >= kMaxConfirmedAddresses) call->confirmed.erase(call->confirmed.begin());
    call->confirmed.push_back(publishing.address);
  }
  for (const DeliveryTag tag : publishing.tags) channel_->ack(tag);
}

void ReplyPublisher::on_nacked(Publishing&& publishing) {
  counters_.add(core::Counter::amqp_nacked);
  unsent_.push_back(std::move(publishing));
  loop_.cancel(republish_timer_);
  republish_timer_ = loop_.at(loop_.now() + kRepublishDelay, [this] { publish_unsent(); });
}

}  // namespace pathstack::amqp

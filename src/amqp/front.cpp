#include "amqp/front.h"

#include <algorithm>
#include <utility>

#include "amqp/call_codec.h"
#include "net/fields.h"

namespace pathstack::amqp {
namespace {

using core::CallStatus;
using core::Millis;

constexpr Millis kMinReconnectDelay{100};
constexpr Millis kMaxReconnectDelay{5000};

/// True if a client's retry of a completed call may run: the call was refused, or it failed and its class is
/// not at-most-once.
bool may_run_again(const CachedCall& completed) {
  switch (completed.answer->status) {
    case CallStatus::refused: return true;
    case CallStatus::failed: return !completed.at_most_once;
    case CallStatus::served: break;
  }
  return false;
}

}  // namespace

Front::Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
             const core::Settings& settings, BrokerSettings broker, Limits limits)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      counters_(counters),
      settings_(settings),
      broker_(std::move(broker)),
      limits_(limits),
      cache_(limits.cached_calls, limits.cached_bytes),
      replies_(loop, counters, cache_),
      last_ref_(settings.seed) {}

Front::~Front() { loop_.cancel(reconnect_timer_); }

void Front::set_memory_budget(core::MemoryBudget& budget) {
  memory_ = &budget;
  budget.track(core::MemoryOwner::broker,
               [this] { return running_bytes_ + cache_.completed_bytes() + replies_.held_bytes(); });
}

bool Front::has_memory_for(const core::Call& call) const {
  // The broker is no single peer: its calls come from many clients, and `Limits::open_calls` bounds them.
  const std::size_t shared = dispatcher_.function_bytes_to_add(call);
  return memory_ == nullptr || memory_->admits_work(0, core::Dispatcher::bytes_of(call), shared);
}

void Front::connect() {
  net::Socket socket = net::connect_to(broker_.address);
  if (!socket) return on_channel_down();
  ChannelListener& listener = *this;
  channel_ = std::make_shared<Channel>(loop_, pool_, counters_, broker_, listener, std::move(socket));
  replies_.attach(*channel_);
}

void Front::on_channel_up() {
  counters_.add(core::Counter::amqp_up);
  reconnect_delay_ = Millis(0);
  if (draining_) channel_->cancel_consumers();
  replies_.publish_unsent();
}

// The broker redelivers unacknowledged messages, to this or another consumer, under new delivery tags.
void Front::on_channel_down() {
  counters_.add(core::Counter::amqp_down);
  replies_.detach();
  cache_.drop_pending();
  if (channel_) loop_.defer_destruction(std::move(channel_));
  channel_.reset();
  loop_.cancel(reconnect_timer_);
  if (draining_) return;
  reconnect_delay_ = std::clamp(reconnect_delay_ * 2, kMinReconnectDelay, kMaxReconnectDelay);
  reconnect_timer_ = loop_.at(loop_.now() + reconnect_delay_, [this] { connect(); });
}

void Front::drain() {
  draining_ = true;
  loop_.cancel(reconnect_timer_);
  if (!channel_) return;
  // A channel that is still in its handshake would start consuming.
  const bool unused = !channel_->is_up() && running_.empty() && !replies_.has_unsent();
  if (unused) return channel_->close();
  channel_->cancel_consumers();
}

bool Front::done() const {
  const bool can_confirm = channel_ && channel_->is_up();
  return running_.empty() && (!can_confirm || replies_.idle());
}

void Front::close() {
  if (channel_) channel_->close();
}

void Front::on_delivery(Delivery&& delivery) {
  auto address = reply_address(delivery.properties);
  if (!address) {
    counters_.add(core::Counter::amqp_unanswerable);
    return channel_->reject(delivery.tag);
  }
  Request request;
  request.key = call_key(delivery.properties);
  request.reply = {delivery.tag, std::move(*address)};
  request.redelivered = delivery.redelivered;
  if (answer_duplicate(request)) return;
  start_call(request, std::move(delivery));
}

/// Returns false if the call is not cached or is to be run again.
bool Front::answer_duplicate(const Request& request) {
  CachedCall* cached = cache_.find(request.key);
  if (cached == nullptr) return false;
  if (cached->running()) {
    counters_.add(core::Counter::amqp_joined);
    cached->pending.push_back(request.reply);
    return true;
  }
  // A repeated delivery without the redelivered flag is a client's retry, not a redelivery by the broker.
  const bool is_retry = !request.redelivered;
  if (is_retry && may_run_again(*cached)) return false;
  counters_.add(core::Counter::amqp_remembered);
  replies_.reply(request.key, request.reply, request.redelivered);
  return true;
}

void Front::start_call(const Request& request, Delivery&& delivery) {
  auto decoded = decode_call(delivery, settings_, loop_.turn_began());
  if (!decoded) {
    return answer_without_running(request, false, CallStatus::failed, core::Counter::amqp_bad_call);
  }
  // An at-most-once call must not run on a redelivery: another process may have run it already, or this one
  // before a restart or before the call was evicted from the cache.
  if (decoded->at_most_once && request.redelivered) {
    return answer_without_running(request, true, CallStatus::failed, core::Counter::amqp_may_have_run);
  }
  if (running_.size() >= limits_.open_calls) {
    return answer_without_running(request, decoded->at_most_once, CallStatus::refused,
                                  core::Counter::amqp_too_many_open);
  }
  decoded->call.body = std::move(delivery.body);
  if (!has_memory_for(decoded->call)) {
    return answer_without_running(request, decoded->at_most_once, CallStatus::refused,
                                  core::Counter::amqp_no_memory);
  }
  dispatch(request, std::move(decoded->call), decoded->at_most_once);
}

void Front::dispatch(const Request& request, core::Call&& call, bool at_most_once) {
  // Workers require a reference of 16 hex digits, unique among open calls; message ids are arbitrary strings.
  call.ref = net::hex16(++last_ref_);
  cache_.start(request.key, at_most_once).pending.push_back(request.reply);
  const core::CallId id = dispatcher_.next_id();
  const std::size_t bytes = core::Dispatcher::bytes_of(call);
  running_[id] = {request.key, bytes};
  running_bytes_ += bytes;
  const bool accepted = dispatcher_.take(id, std::move(call), *this);
  if (!accepted) answer(id, core::Answer());
}

void Front::answer_without_running(const Request& request, bool at_most_once, CallStatus status,
                                   core::Counter reason) {
  counters_.add(reason);
  cache_.start(request.key, at_most_once);
  cache_.complete(request.key, {status, Millis(0), {}});
  replies_.reply(request.key, request.reply, request.redelivered);
}

void Front::answer(core::CallId call, core::Answer&& answer) {
  const auto found = running_.find(call);
  if (found == running_.end()) return;
  const CallKey key = found->second.key;
  running_bytes_ -= found->second.bytes;
  running_.erase(found);
  CachedCall* cached = cache_.find(key);
  if (cached == nullptr) return;
  const auto pending = std::exchange(cached->pending, {});
  cache_.complete(key, std::move(answer));
  // The channel of the deliveries is gone: the answer is kept in the cache until the broker redelivers.
  if (pending.empty()) counters_.add(core::Counter::amqp_answers_kept);
  for (const auto& reply : pending) replies_.reply(key, reply, true);
}

void Front::on_publisher_confirm(const PublisherConfirm& confirm) { replies_.on_publisher_confirm(confirm); }

}  // namespace pathstack::amqp

// The calls that run and the answers of those that ended, by their key: what makes a redelivery harmless.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "amqp/content_assembler.h"
#include "core/types.h"

namespace pathstack::amqp {

/// What tells a call from others, however often it is delivered (see `call_key`).
using CallKey = std::string;

/// Where an answer goes, and which request it names there.
struct ReplyAddress {
  std::string reply_to;        // the queue
  std::string correlation_id;  // the requester's

  bool operator==(const ReplyAddress& other) const {
    return reply_to == other.reply_to && correlation_id == other.correlation_id;
  }
};

/// A delivery that waits for the answer of its call.
struct PendingReply {
  DeliveryTag tag{};  // on the present channel
  ReplyAddress address;
};

/// What is known of a call.
struct CachedCall {
  bool at_most_once = false;                   // its class must not run twice
  std::shared_ptr<const core::Answer> answer;  // none while the call runs
  std::vector<PendingReply> pending;           // while the call runs
  std::vector<ReplyAddress> confirmed;         // the broker has confirmed the answer to these

  bool running() const { return answer == nullptr; }
};

/// A cache of calls by their key.
///
/// Bounded: completed calls by number and by bytes, least recently completed evicted first. Calls that run
/// are never evicted; how many may run is the caller's limit. The call that completed last stays in any case,
/// so that its pending replies can be answered.
///
/// Owned by Front; not thread-safe. Calls cost O(1) but where noted. References and pointers to entries are
/// valid up to the next `start` or `complete`.
class IdempotencyCache {
 public:
  /// At most `max_completed` completed calls, which take at most about `max_bytes`.
  IdempotencyCache(std::size_t max_completed, std::size_t max_bytes)
      : max_completed_(max_completed), max_bytes_(max_bytes) {}

  /// The call under `key`, or null if it is unknown or was evicted.
  CachedCall* find(const CallKey& key);

  /// Files a call that runs from now on, in place of whatever was known under `key`.
  CachedCall& start(const CallKey& key, bool at_most_once);

  /// Files the answer of a running call; without effect if `key` is unknown or has its answer. Evicts as
  /// needed: amortized O(1).
  void complete(const CallKey& key, core::Answer&& answer);

  /// Forgets who waits for running calls: the channel with their deliveries has gone. O(entries).
  void drop_pending();

  /// The number of calls, running or completed.
  std::size_t size() const { return entries_.size(); }

  /// The number of calls without an answer yet.
  std::size_t running_count() const { return entries_.size() - completed_.size(); }

 private:
  struct Entry {
    CachedCall call;
    std::list<CallKey>::iterator position;  // in `completed_`; valid once the call has its answer
  };

  std::size_t max_completed_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;  // of the completed calls
  std::unordered_map<CallKey, Entry> entries_;
  std::list<CallKey> completed_;  // least recently completed first

  static std::size_t size_of(const CallKey& key, const core::Answer& answer);
  bool over_limit() const { return completed_.size() > max_completed_ || bytes_ > max_bytes_; }
  void erase(const CallKey& key);
};

}  // namespace pathstack::amqp

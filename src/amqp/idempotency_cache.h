/// Cache of running calls and completed answers by call key, which deduplicates redelivered messages.
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

/// Identifies a call across repeated deliveries (see `call_key`).
using CallKey = std::string;

/// The destination of an answer.
struct ReplyAddress {
  std::string reply_to;        // queue name
  std::string correlation_id;  // identifies the request to the client

  bool operator==(const ReplyAddress& other) const {
    return reply_to == other.reply_to && correlation_id == other.correlation_id;
  }
};

/// A delivery that is waiting for the answer to its call.
struct PendingReply {
  DeliveryTag tag{};  // on the current channel
  ReplyAddress address;
};

/// The cached state of a call.
struct CachedCall {
  bool at_most_once = false;                   // the call's class must not run twice
  std::shared_ptr<const core::Answer> answer;  // null while the call is running
  std::vector<PendingReply> pending;           // deliveries to answer; empty once the call has completed
  std::vector<ReplyAddress> confirmed;         // addresses whose answer the broker has confirmed

  bool running() const { return answer == nullptr; }
};

/// A cache of calls by their key.
///
/// Completed calls are bounded by number and by bytes; the least recently completed is evicted first. Running
/// calls are never evicted; the caller limits their number. The most recently completed call is never
/// evicted, so that its pending replies can be sent.
///
/// Owned by Front; not thread-safe. Operations are O(1) unless noted. References and pointers to entries are
/// valid until the next `start` or `complete`.
class IdempotencyCache {
 public:
  /// Keeps at most `max_completed` completed calls, with an estimated size of at most `max_bytes`.
  IdempotencyCache(std::size_t max_completed, std::size_t max_bytes)
      : max_completed_(max_completed), max_bytes_(max_bytes) {}

  /// Returns the call under `key`, or null if it is unknown or was evicted.
  CachedCall* find(const CallKey& key);

  /// Inserts a running call under `key`, replacing any existing entry.
  CachedCall& start(const CallKey& key, bool at_most_once);

  /// Stores the answer of a running call. Has no effect if `key` is unknown or already completed. Evicts as
  /// needed: amortized O(1).
  void complete(const CallKey& key, core::Answer&& answer);

  /// Clears the pending replies of all calls, because the channel of their deliveries has ended. O(n) in the
  /// number of entries.
  void drop_pending();

  /// The estimated size of the completed calls, in bytes.
  std::size_t completed_bytes() const { return bytes_; }

  /// The number of calls, running and completed.
  std::size_t size() const { return entries_.size(); }

  /// The number of calls without an answer.
  std::size_t running_count() const { return entries_.size() - completed_.size(); }

 private:
  struct Entry {
    CachedCall call;
    std::list<CallKey>::iterator position;  // in `completed_`; valid once the call has completed
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

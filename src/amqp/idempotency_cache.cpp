#include "amqp/idempotency_cache.h"

#include <utility>

namespace pathstack::amqp {
namespace {

constexpr std::size_t kEntryOverhead = 512;  // bytes: estimated size of an entry without its strings
constexpr std::size_t kKeyCopies = 2;        // one in the map, one in the list

}  // namespace

std::size_t IdempotencyCache::size_of(const CallKey& key, const core::Answer& answer) {
  return kEntryOverhead + kKeyCopies * key.size() + answer.body.size();
}

CachedCall* IdempotencyCache::find(const CallKey& key) {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.call;
}

CachedCall& IdempotencyCache::start(const CallKey& key, bool at_most_once) {
  erase(key);
  Entry& entry = entries_[key];
  entry.call.at_most_once = at_most_once;
  return entry.call;
}

void IdempotencyCache::complete(const CallKey& key, core::Answer&& answer) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || !found->second.call.running()) return;
  bytes_ += size_of(key, answer);
  found->second.call.answer = std::make_shared<const core::Answer>(std::move(answer));
  found->second.position = completed_.insert(completed_.end(), key);
  while (completed_.size() > 1 && over_limit()) {
    const CallKey oldest = completed_.front();  // a copy, as `erase` destroys the key in the list
    erase(oldest);
  }
}

void IdempotencyCache::erase(const CallKey& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  if (!found->second.call.running()) {
    bytes_ -= size_of(key, *found->second.call.answer);
    completed_.erase(found->second.position);
  }
  entries_.erase(found);
}

void IdempotencyCache::drop_pending() {
  for (auto& [key, entry] : entries_) entry.call.pending.clear();
}

}  // namespace pathstack::amqp

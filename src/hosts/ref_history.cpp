#include "hosts/ref_history.h"

#include <algorithm>

namespace pathstack::hosts {
namespace {

constexpr Millis kRetention{10000};  // the connection to a host that is unreachable for longer has ended
constexpr std::size_t kMaxRefs = 2048;

}  // namespace

void RefHistory::answered(const std::string& ref, Millis now) { add(ref, {now, 0}); }

void RefHistory::cancelled(const std::string& ref, Millis now, std::uint64_t cancel_end) {
  add(ref, {now, cancel_end});
}

void RefHistory::confirm_read(std::uint64_t request_end) { confirmed_ = std::max(confirmed_, request_end); }

RefHistory::LateAnswer RefHistory::record_late_answer(const std::string& ref, Millis now) {
  const auto found = entries_.find(ref);
  if (found == entries_.end()) return LateAnswer::unknown;
  if (found->second.cancel_end == 0) return LateAnswer::duplicate;
  answered(ref, now);
  return LateAnswer::first;
}

bool RefHistory::reusable(const std::string& ref, Millis now) const {
  const auto found = entries_.find(ref);
  if (found == entries_.end()) return true;
  return now - found->second.ended > duplicate_window_ && found->second.cancel_end <= confirmed_;
}

void RefHistory::add(const std::string& ref, const Entry& entry) {
  expire(entry.ended);
  entries_[ref] = entry;
  order_.emplace_back(entry.ended, ref);
}

void RefHistory::expire(Millis now) {
  while (!order_.empty() && (now - order_.front().first > kRetention || order_.size() > kMaxRefs)) {
    const auto& [ended, ref] = order_.front();
    const auto found = entries_.find(ref);
    // A ref that was reused since has a later entry in `order_`.
    if (found != entries_.end() && found->second.ended == ended) entries_.erase(found);
    order_.pop_front();
  }
}

}  // namespace pathstack::hosts

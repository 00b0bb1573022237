#include "hosts/ref_history.h"

#include <algorithm>

namespace pathstack::hosts {
namespace {

constexpr Millis kCancelledRetention{
    10000};  // the connection to a host that is unreachable for longer has ended
constexpr std::size_t kMaxRefs = 2048;

}  // namespace

void RefHistory::answered(const std::string& ref, Millis now) { add(ref, {now, 0}, answered_); }

void RefHistory::cancelled(const std::string& ref, Millis now, std::uint64_t cancel_end) {
  add(ref, {now, cancel_end}, cancelled_);
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

void RefHistory::add(const std::string& ref, const Entry& entry, Order& order) {
  expire(entry.ended);
  entries_[ref] = entry;
  order.emplace_back(entry.ended, ref);
}

void RefHistory::expire(Millis now) {
  expire(answered_, now, duplicate_window_);
  expire(cancelled_, now, kCancelledRetention);
}

void RefHistory::expire(Order& order, Millis now, Millis retention) {
  while (!order.empty() && (now - order.front().first > retention || order.size() > kMaxRefs)) {
    const auto& [ended, ref] = order.front();
    const auto found = entries_.find(ref);
    // A ref that was reused since has a later entry in one of the orders.
    if (found != entries_.end() && found->second.ended == ended) entries_.erase(found);
    order.pop_front();
  }
}

}  // namespace pathstack::hosts

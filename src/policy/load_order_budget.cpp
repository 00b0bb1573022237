#include "policy/load_order_budget.h"

#include <algorithm>
#include <limits>

namespace pathstack::policy {

void LoadOrderBudget::request_arrived(Millis now) {
  if (!is_limited()) return;
  requests_.push_back(now);
  expire_requests(now);
}

double LoadOrderBudget::limit(Millis now) {
  if (!is_limited()) return std::numeric_limits<double>::infinity();
  expire_requests(now);
  return settings_.load_floor + settings_.load_ratio * static_cast<double>(requests_.size());
}

double LoadOrderBudget::remaining(Millis now) {
  while (!orders_.empty() && now - orders_.front() > settings_.load_window) orders_.pop_front();
  return limit(now) - static_cast<double>(orders_.size());
}

void LoadOrderBudget::order_sent(Millis now) {
  if (is_limited()) orders_.push_back(now);
}

void LoadOrderBudget::order_not_sent(Millis sent_at) {
  const auto found = std::find(orders_.begin(), orders_.end(), sent_at);
  if (found != orders_.end()) orders_.erase(found);
}

void LoadOrderBudget::expire_requests(Millis now) {
  while (!requests_.empty() && now - requests_.front() >= settings_.load_window) requests_.pop_front();
}

}  // namespace pathstack::policy

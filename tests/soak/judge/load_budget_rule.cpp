#include "judge/load_budget_rule.h"

#include <algorithm>

namespace pathstack::soak {
namespace {

constexpr double kToleranceFactor = 1.15;
constexpr double kToleranceOrders = 1;

bool is_load(const HostRequest& request) {
  return request.kind == HostRequest::Kind::load_order && request.instances > 0;
}

// Start time of the invoker process that ran at `at`.
Millis process_start(const Record& record, int invoker, Millis at) {
  Millis start{0};
  for (const ProcessLifetime& lifetime : record.process_lifetimes) {
    if (lifetime.invoker == invoker && lifetime.started <= at) start = std::max(start, lifetime.started);
  }
  return start;
}

}  // namespace

Violations check_load_budget(const Record& record) {
  Violations violations;
  const RuleSettings& rules = record.rules;
  for (const HostRequest& order : record.requests) {
    if (!is_load(order)) continue;
    const Millis at = order.complete;
    const Millis slack = record.slack_at(at);
    const Millis began = process_start(record, order.invoker, at);
    const auto calls = std::count_if(record.calls.begin(), record.calls.end(), [&](const Call& call) {
      return call.invoker == order.invoker && call.sent <= at && call.sent > at - rules.load_window - slack &&
             call.sent >= began;
    });
    const auto orders =
        std::count_if(record.requests.begin(), record.requests.end(), [&](const HostRequest& other) {
          return is_load(other) && other.invoker == order.invoker && other.complete <= at &&
                 other.complete > at - rules.load_window + slack && other.complete >= began;
        });
    const double budget = rules.load_floor + rules.load_ratio * static_cast<double>(calls);
    if (static_cast<double>(orders) <= budget * kToleranceFactor + kToleranceOrders) continue;
    violations.push_back({"load_budget", at,
                          std::to_string(orders) + " load orders from invoker " +
                              std::to_string(order.invoker) + " for " + std::to_string(calls) + " calls"});
  }
  return violations;
}

}  // namespace pathstack::soak

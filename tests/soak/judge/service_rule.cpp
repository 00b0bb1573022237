#include "judge/service_rule.h"

#include <algorithm>

namespace pathstack::soak {

std::vector<ServedWindow> served_by_second(const Record& record) {
  std::vector<ServedWindow> windows(static_cast<std::size_t>(record.length.count() / 1000) + 1);
  for (const Call& call : record.calls) {
    const auto second = static_cast<std::size_t>(call.sent.count() / 1000);
    const bool counts = !call.abandoned && second < windows.size();
    if (!counts) continue;
    ++windows[second].calls;
    const bool served = !call.replies.empty() && call.replies[0].status == "OK";
    windows[second].served += served ? 1 : 0;
  }
  return windows;
}

namespace {

constexpr int kMinCalls = 20;

std::string describe_share(const ServedWindow& window) {
  return std::to_string(window.served) + " of " + std::to_string(window.calls) + " calls were served";
}

bool is_below(const ServedWindow& window, double min_share) {
  return window.served < min_share * window.calls;
}

void check_shares(const Record& record, const std::vector<ServedWindow>& windows, Violations& violations) {
  ServedWindow all;
  for (std::size_t i = 0; i < windows.size(); ++i) {
    all.calls += windows[i].calls;
    all.served += windows[i].served;
    const bool enough = windows[i].calls >= kMinCalls;
    if (!enough || !is_below(windows[i], record.rules.min_served_share_per_second)) continue;
    const Millis at(static_cast<double>(i) * 1000);
    violations.push_back({"share of service", at, describe_share(windows[i]) + " in one second", true});
  }
  if (!is_below(all, record.rules.min_served_share)) return;
  violations.push_back({"share of service", record.length, describe_share(all) + " in the whole run", true});
}

}  // namespace

Violations check_service(const Record& record) {
  Violations violations;
  const auto windows = served_by_second(record);
  check_shares(record, windows, violations);
  for (std::size_t i = 1; i < windows.size(); ++i) {
    const int calls = windows[i - 1].calls + windows[i].calls;
    const int served = windows[i - 1].served + windows[i].served;
    if (calls < kMinCalls || served > 0) continue;
    const Millis at(static_cast<double>(i) * 1000);
    violations.push_back({"service", at,
                          "none of " + std::to_string(calls) + " calls in two consecutive seconds was served",
                          true});
  }
  return violations;
}

}  // namespace pathstack::soak

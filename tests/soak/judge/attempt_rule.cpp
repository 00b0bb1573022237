#include "judge/attempt_rule.h"

#include <map>

namespace pathstack::soak {
namespace {

constexpr Millis kAfterLeave{100};
constexpr Millis kTimeoutTolerance{150};

bool never_ran(const std::string& answer) {
  return answer == "full" || answer == "absent" || answer == "moot";
}

using Attempts = std::vector<const HostRequest*>;  // of one call, in order of arrival

void check_call(const Record& record, const Call& call, const Attempts& attempts, BrokenRules& broken) {
  const auto report = [&](Millis at, const std::string& what) {
    broken.push_back({"attempt", at, "call " + call.ref + " " + what});
  };
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const HostRequest& attempt = *attempts[i];
    const Millis slack = record.slack_at(attempt.complete);
    if (static_cast<int>(i) >= record.rules.send_cap) report(attempt.complete, "has too many attempts");
    if (call.left && attempt.complete > *call.left + kAfterLeave + slack) {
      report(attempt.complete, "attempted after its client had left");
    }
    const Millis time_left = call.sent + call.allowed - attempt.first_byte;
    if (attempt.timeout > time_left + kTimeoutTolerance + slack) {
      report(attempt.complete, "told a host more time than its client has left");
    }
    if (i == 0) continue;
    const HostRequest& before = *attempts[i - 1];
    const bool overlaps = !before.ended || *before.ended > attempt.complete + slack;
    if (overlaps) report(attempt.complete, "has two attempts out");
    if (call.semantics == Semantics::once && !never_ran(before.answer)) {
      report(attempt.complete, "repeated though it may have run");
    }
  }
}

}  // namespace

BrokenRules check_attempts(const Record& record) {
  std::map<std::string, Attempts> by_ref;
  for (const HostRequest& request : record.requests) {
    if (request.kind == HostRequest::Kind::call) by_ref[request.ref].push_back(&request);
  }
  BrokenRules broken;
  for (const Call& call : record.calls) {
    const auto found = by_ref.find(call.ref);
    if (found != by_ref.end()) check_call(record, call, found->second, broken);
  }
  return broken;
}

}  // namespace pathstack::soak

#include "judge/attempt_rule.h"

#include <map>

namespace pathstack::soak {
namespace {

constexpr Millis kAfterLeave{100};
constexpr Millis kTimeoutTolerance{150};

bool never_ran(const std::string& status) {
  return status == "full" || status == "absent" || status == "moot";
}

using Attempts = std::vector<const HostRequest*>;  // of one call, in order of arrival at the hosts

void check_call(const Record& record, const Call& call, const Attempts& attempts, Violations& violations) {
  const auto report = [&](Millis at, const std::string& what) {
    violations.push_back({"attempt", at, "call " + call.ref + " " + what});
  };
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const HostRequest& attempt = *attempts[i];
    const Millis slack = record.slack_at(attempt.complete);
    if (static_cast<int>(i) >= record.rules.send_cap) report(attempt.complete, "has too many attempts");
    if (call.abandoned && attempt.complete > *call.abandoned + kAfterLeave + slack) {
      report(attempt.complete, "was attempted after its client had cancelled or disconnected");
    }
    const Millis time_left = call.sent + call.time_limit - attempt.first_byte;
    if (attempt.timeout > time_left + kTimeoutTolerance + slack) {
      report(attempt.complete, "gave a host a longer timeout than its client has left");
    }
    if (i == 0) continue;
    const HostRequest& before = *attempts[i - 1];
    const bool overlaps = !before.ended || *before.ended > attempt.complete + slack;
    if (overlaps) report(attempt.complete, "has two attempts in flight at once");
    if (call.semantics == Semantics::once && !never_ran(before.reply_status)) {
      report(attempt.complete, "was repeated though an earlier attempt may have run");
    }
  }
}

}  // namespace

Violations check_attempts(const Record& record) {
  std::map<std::string, Attempts> by_ref;
  for (const HostRequest& request : record.requests) {
    if (request.kind == HostRequest::Kind::call) by_ref[request.ref].push_back(&request);
  }
  Violations violations;
  for (const Call& call : record.calls) {
    const auto found = by_ref.find(call.ref);
    if (found != by_ref.end()) check_call(record, call, found->second, violations);
  }
  return violations;
}

}  // namespace pathstack::soak

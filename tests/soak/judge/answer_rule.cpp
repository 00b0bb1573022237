#include "judge/answer_rule.h"

#include <algorithm>
#include <set>

namespace pathstack::soak {
namespace {

// SIGKILL, or a kill by the schedule, excuses what the process held. What came so late that the pages allow
// no answer is excused as well.
bool is_excused(const Record& record, const Call& call) {
  const Millis late_after_term{700};
  return std::any_of(
      record.process_lifetimes.begin(), record.process_lifetimes.end(), [&](const ProcessLifetime& lifetime) {
        if (lifetime.invoker != call.invoker || lifetime.started > call.sent) return false;
        const bool killed_while_open = lifetime.killed && *lifetime.killed >= call.sent &&
                                       *lifetime.killed <= call.sent + call.time_limit;
        // Sent between the kill and the end of the connection, which the client may notice a moment after the
        // end of the process: nobody has read it.
        const bool sent_to_killed = lifetime.killed && *lifetime.killed <= call.sent &&
                                    (!lifetime.ended || call.sent <= *lifetime.ended + record.rules.slack);
        const bool was_ending = lifetime.terminated && call.sent > *lifetime.terminated + late_after_term;
        const bool had_ended = lifetime.ended && *lifetime.ended <= call.sent;
        return killed_while_open || sent_to_killed || (was_ending && !had_ended);
      });
}

void check_served_bodies(const Record& record, Violations& violations) {
  std::set<std::string> served_refs;
  for (const HostRequest& request : record.requests) {
    if (request.reply_status == "data") served_refs.insert(request.ref);
  }
  for (const Call& call : record.calls) {
    for (const ClientReply& reply : call.replies) {
      const bool made_by_host = served_refs.count(call.ref) != 0 && reply.body == call.ref;
      if (reply.status == "OK" && !made_by_host) {
        violations.push_back({"answer", reply.at, "call " + call.ref + " served with what no host made"});
      }
    }
  }
}

}  // namespace

Violations check_answers(const Record& record) {
  Violations violations;
  const auto report = [&](const Call& call, Millis at, const std::string& what) {
    std::string text = "call " + call.ref + " " + what + ", sent at " + std::to_string(call.sent.count());
    if (call.connection_lost) text += ", cut off at " + std::to_string(call.connection_lost->count());
    violations.push_back({"answer", at, text});
  };
  for (const Call& call : record.calls) {
    if (call.replies.size() > 1) report(call, call.replies[1].at, "has two final answers");
    if (call.abandoned) {
      const bool late =
          !call.replies.empty() && call.replies[0].at > *call.abandoned + record.slack_at(call.replies[0].at);
      if (late) report(call, call.replies[0].at, "answered after its client had left");
      continue;
    }
    const Millis due = call.sent + call.time_limit + record.rules.reply_grace;
    const bool runs_past_end = due > record.length;
    if (call.replies.empty()) {
      if (!runs_past_end && !is_excused(record, call)) report(call, due, "has no final answer");
      continue;
    }
    if (call.replies[0].at > due + record.slack_at(call.replies[0].at)) {
      report(call, call.replies[0].at, "answered after its time");
    }
  }
  check_served_bodies(record, violations);
  return violations;
}

}  // namespace pathstack::soak

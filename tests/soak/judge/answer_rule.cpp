#include "judge/answer_rule.h"

#include <algorithm>
#include <set>

namespace pathstack::soak {
namespace {

// True if the platform's rules excuse the missing reply: the process was killed while the call was open, or
// the call was sent so late after SIGTERM that the invoker need not reply.
bool is_excused(const Record& record, const Call& call) {
  const Millis late_after_term{700};
  return std::any_of(
      record.process_lifetimes.begin(), record.process_lifetimes.end(), [&](const ProcessLifetime& lifetime) {
        if (lifetime.invoker != call.invoker || lifetime.started > call.sent) return false;
        const bool killed_while_open = lifetime.killed && *lifetime.killed >= call.sent &&
                                       *lifetime.killed <= call.sent + call.time_limit;
        // The call was sent between the kill and the close of the connection, so no process read it. The
        // client may see the close a moment after the process has ended.
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
        violations.push_back(
            {"answer", reply.at, "call " + call.ref + " was served with a body that no host returned"});
      }
    }
  }
}

}  // namespace

Violations check_answers(const Record& record) {
  Violations violations;
  const auto report = [&](const Call& call, Millis at, const std::string& what) {
    std::string text = "call " + call.ref + " " + what + ", sent at " + std::to_string(call.sent.count());
    if (call.connection_lost) text += ", connection lost at " + std::to_string(call.connection_lost->count());
    violations.push_back({"answer", at, text});
  };
  for (const Call& call : record.calls) {
    if (call.replies.size() > 1) report(call, call.replies[1].at, "has two final replies");
    if (call.abandoned) {
      const bool late =
          !call.replies.empty() && call.replies[0].at > *call.abandoned + record.slack_at(call.replies[0].at);
      if (late)
        report(call, call.replies[0].at, "has a reply after its client had cancelled or disconnected");
      continue;
    }
    const Millis due = call.sent + call.time_limit + record.rules.reply_grace;
    const bool runs_past_end = due > record.length;
    if (call.replies.empty()) {
      if (!runs_past_end && !is_excused(record, call)) report(call, due, "has no final reply");
      continue;
    }
    if (call.replies[0].at > due + record.slack_at(call.replies[0].at)) {
      report(call, call.replies[0].at, "has a reply after its time limit");
    }
  }
  check_served_bodies(record, violations);
  return violations;
}

}  // namespace pathstack::soak

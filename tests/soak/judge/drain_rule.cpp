#include "judge/drain_rule.h"

#include <algorithm>

namespace pathstack::soak {
namespace {

Millis notice_delay(LogFault fault) {
  constexpr Millis kAfterClose{2000}, kAfterStop{4000};
  const bool is_closed = fault == LogFault::refused || fault == LogFault::closed;
  return is_closed ? kAfterClose : kAfterStop;
}

// The time from which the outage withheld events: for `sequence_only` that of the first withheld event.
Millis outage_start(const Record& record, const LogOutage& outage) {
  if (outage.fault != LogFault::sequence_only) return outage.from;
  Millis first = outage.to;
  for (const MembershipChange& change : record.changes) {
    if (change.at >= outage.from) first = std::min(first, change.at);
  }
  return first;
}

// Longest time for which an event of the time `event_at` may have been in transit.
Millis delivery_delay(const Record& record, Millis event_at) {
  Millis longest{20};  // over loopback, through three event loops
  for (const LogDelay& delay : record.delays) {
    if (delay.from <= event_at && event_at < delay.to) longest = std::max(longest, delay.delay);
  }
  return longest;
}

// The last change of the worker's state before the request, with the time from which the invoker is assumed
// to know it in `known_at`; null if there was none. A removal after a drain does not count as a change of its
// own.
const MembershipChange* last_change_before(const Record& record, const HostRequest& request,
                                           Millis& known_at) {
  const MembershipChange* latest = nullptr;
  for (const MembershipChange& change : record.changes) {
    if (change.worker != request.worker || change.at > request.first_byte) continue;
    const bool already_leaving = latest != nullptr && latest->state != MemberState::ready;
    if (already_leaving && change.state != MemberState::ready) continue;  // removed after it was drained
    latest = &change;
    known_at = assumed_known_at(record, request.invoker, change.at);
  }
  return latest;
}

}  // namespace

Millis assumed_known_at(const Record& record, int invoker, Millis event_at) {
  Millis known_at = event_at;
  const Millis arrival = event_at + delivery_delay(record, event_at);
  for (const LogOutage& outage : record.outages) {
    const bool covers = outage.invoker == invoker && outage.from <= arrival && event_at < outage.to;
    if (covers) known_at = std::max(event_at, outage_start(record, outage) + notice_delay(outage.fault));
  }
  for (const LogQuery& query : record.log_queries) {
    if (query.invoker == invoker && query.at >= event_at) known_at = std::min(known_at, query.at);
  }
  return known_at;
}

Violations check_drains(const Record& record) {
  Violations violations;
  for (const HostRequest& request : record.requests) {
    const bool is_query = request.kind == HostRequest::Kind::load_order && request.instances == 0;
    if (is_query) continue;
    Millis known_at{0};
    const MembershipChange* state = last_change_before(record, request, known_at);
    if (state == nullptr || state->state == MemberState::ready) continue;
    const Millis limit = known_at + record.rules.drain_grace + record.slack_at(request.first_byte);
    if (request.first_byte <= limit) continue;
    const char* const what = request.kind == HostRequest::Kind::call ? "call" : "load order";
    violations.push_back({"drain", request.first_byte,
                          std::string(what) + " from invoker " + std::to_string(request.invoker) + " at " +
                              request.worker + ", whose drain or removal was known from " +
                              std::to_string(known_at.count()) + " ms"});
  }
  return violations;
}

}  // namespace pathstack::soak

#include "judge/outage_service_rule.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace pathstack::soak {
namespace {

// Span of time, during or after an outage, whose calls are counted.
struct Span {
  Millis from{0}, to{0};
};
using SpanOf = std::function<Span(const LogOutage&)>;

std::optional<double> share_served(const Record& record, const SpanOf& span_of) {
  std::size_t calls = 0, served = 0;
  for (const Call& call : record.calls) {
    const bool counts =
        std::any_of(record.outages.begin(), record.outages.end(), [&](const LogOutage& outage) {
          const Span span = span_of(outage);
          return outage.invoker == call.invoker && span.from <= call.sent && call.sent < span.to;
        });
    if (!counts || call.abandoned) continue;
    ++calls;
    served += !call.replies.empty() && call.replies[0].status == "OK" ? 1 : 0;
  }
  if (calls == 0) return std::nullopt;
  return static_cast<double>(served) / static_cast<double>(calls);
}

void check_share(std::optional<double> share, double min_share, Millis at, const char* when,
                 Violations& violations) {
  if (share.value_or(0) >= min_share) return;
  char what[96];
  std::snprintf(what, sizeof what, "served share of the calls sent %s is %.3f, below the minimum of %.2f",
                when, share.value_or(0), min_share);
  violations.push_back({"outage service", at, what, true});
}

}  // namespace

std::optional<double> share_served_in_outages(const Record& record) {
  const Millis counted_after = record.rules.outage.counted_after;
  return share_served(record, [&](const LogOutage& outage) {
    return Span{outage.from + counted_after, outage.to};
  });
}

std::optional<double> share_served_after_outages(const Record& record) {
  const Millis restart = record.rules.outage.recovery_time;
  return share_served(record, [&](const LogOutage& outage) {
    return Span{outage.to + restart, outage.to + restart + Millis(1000)};
  });
}

Violations check_outage_service(const Record& record) {
  Violations violations;
  const double min_share = record.rules.outage.min_served_share;
  if (min_share <= 0 || record.outages.empty()) return violations;
  const LogOutage& first = record.outages.front();
  check_share(share_served_in_outages(record), min_share, first.from, "in an outage", violations);
  check_share(share_served_after_outages(record), min_share, first.to, "after an outage", violations);
  return violations;
}

}  // namespace pathstack::soak

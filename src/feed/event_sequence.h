/// Order check for the events of the membership log.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "config/membership_events.h"
#include "core/member.h"

namespace pathstack::feed {

/// Accepts each event of the membership log once and in order, by its sequence number. Repeats are skipped. A
/// gap is reported, so that the caller can request the events after the last accepted one again.
///
/// A complete host list may skip sequence numbers, as it replaces all events before it.
class EventSequence {
 public:
  enum class Result {
    update,      // the next event, with a host list
    no_update,   // a repeat, a lower number, or an event without a host list
    up_to_date,  // the log has no event after the last accepted one
    gap,         // an event before this one is missing
    malformed    // the line or event cannot be read
  };

  /// `last`: the sequence number of the last event that is already known; 0 for none.
  explicit EventSequence(std::uint64_t last = 0) : last_(last) {}

  /// Processes one line of the log: an event, or only the number of the last event in the log. Sets `out` to
  /// the host list of an update, and leaves it unchanged otherwise. Cost: linear in the line.
  Result read_line(const std::string& line, core::MemberList& out);

  /// Like `read_line`, for a parsed event.
  Result read_event(config::MembershipEvent&& event, core::MemberList& out);

  /// The sequence number of the last accepted event.
  std::uint64_t last() const { return last_; }

  /// Marks all events up to `seq` as known. No effect if `seq` is below `last()`.
  void skip_to(std::uint64_t seq) { last_ = std::max(last_, seq); }

 private:
  std::uint64_t last_;
};

}  // namespace pathstack::feed

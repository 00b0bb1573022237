// The order of the membership log's events.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "config/membership_events.h"
#include "core/member.h"

namespace pathstack::feed {

/// Lets each event of the membership log pass once and in order, by its sequence number. Repeats are skipped;
/// a gap is reported, so that the events from the last good one on can be asked for again.
///
/// A complete list of hosts may skip numbers: it replaces all events before it.
class EventSequence {
 public:
  enum class Result {
    update,      // the event is the next one and lists hosts
    no_update,   // a repeat, or nothing that concerns the list of hosts
    up_to_date,  // the log has no event after the last one that has passed
    gap,         // an event before this one is missing
    malformed    // cannot be read
  };

  /// `last`: the sequence number of the last event that is known already; 0 for none.
  explicit EventSequence(std::uint64_t last = 0) : last_(last) {}

  /// One line of the log: an event, or the number of the log's last event alone. `out` gets the hosts of an
  /// update and stays as it is otherwise. Cost: linear in the line.
  Result read_line(const std::string& line, core::MemberList& out);

  /// The same for an event that is parsed already.
  Result read_event(config::MembershipEvent&& event, core::MemberList& out);

  /// The sequence number of the last event that has passed.
  std::uint64_t last() const { return last_; }

  /// Counts all events up to `seq` as known.
  void skip_to(std::uint64_t seq) { last_ = std::max(last_, seq); }

 private:
  std::uint64_t last_;
};

}  // namespace pathstack::feed

#include "feed/event_sequence.h"

#include <utility>

namespace pathstack::feed {

EventSequence::Result EventSequence::read_line(const std::string& line, core::MemberList& out) {
  auto read = config::read_membership_line(line);
  if (read.last_seq && *read.last_seq > last_) return Result::gap;
  if (read.last_seq) return *read.last_seq == last_ ? Result::up_to_date : Result::no_update;
  if (!read.event) return Result::malformed;
  return read_event(std::move(*read.event), out);
}

EventSequence::Result EventSequence::read_event(config::MembershipEvent&& event, core::MemberList& out) {
  if (!event.seq) return Result::malformed;
  const std::uint64_t seq = *event.seq;
  if (seq <= last_) return Result::no_update;
  const bool follows = seq == last_ + 1 || event.list.complete;
  if (!follows) return Result::gap;
  if (event.malformed) return Result::malformed;
  last_ = seq;
  if (!event.has_members) return Result::no_update;
  out = std::move(event.list);
  return Result::update;
}

}  // namespace pathstack::feed

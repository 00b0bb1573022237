// Events of the membership log, read row by row.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/member.h"

namespace pathstack::config {

/// One event as it was written; nothing is checked against the events before it.
struct MembershipEvent {
  std::optional<std::uint64_t> seq;  // none: it has no number
  bool has_members = false;          // false: another kind of event
  bool is_last_seq = false;          // it has nothing but its number: that of the last event
  bool malformed = false;            // a part of it cannot be read
  core::MemberList list;
};

/// Collects events while a JSON document is parsed, for use as the library's parser callback. Each row
/// becomes a `core::Member` and leaves the document as soon as it is whole, and each event likewise, so that
/// the memory taken is that of the members and of one row. A row over 64 KiB makes its event malformed.
class MembershipEventReader {
 public:
  /// `path` names the keys from the document's root to the list of events; empty: the document is one event.
  explicit MembershipEventReader(std::vector<std::string> path) : path_(std::move(path)) {}

  /// The callback: false for what leaves the document. Cost: linear in the size of a row.
  bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed);

  /// The events of the document so far, in order.
  std::vector<MembershipEvent> take_events() { return std::move(events_); }

 private:
  std::vector<std::string> path_;
  std::vector<std::string> keys_;  // the last key at each depth
  MembershipEvent current_;
  std::vector<MembershipEvent> events_;

  std::size_t event_depth() const { return path_.empty() ? 0 : path_.size() + 1; }
  bool inside_events() const;
  bool inside_members(std::size_t depth) const;
  void add_member(const nlohmann::json& row);
  void add_event(const nlohmann::json& event);
};

/// One line of the membership log. `last_seq` holds a line that tells the number of the last event alone, as
/// a number or as an object with nothing else.
struct MembershipLine {
  std::optional<std::uint64_t> last_seq;
  std::optional<MembershipEvent> event;  // neither: the line cannot be read
};

/// Cost: linear in the line.
MembershipLine read_membership_line(const std::string& line);

}  // namespace pathstack::config

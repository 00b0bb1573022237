/// Parser of membership log events, which converts one host row at a time to save memory.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/member.h"

namespace pathstack::config {

/// One parsed event. Its order relative to other events is not checked here.
struct MembershipEvent {
  std::optional<std::uint64_t> seq;  // empty: the event has no number
  bool has_members = false;          // false: an event of another kind, without a host list
  bool is_last_seq = false;          // only a number, that of the last event in the log
  bool malformed = false;            // a part of the event cannot be read
  core::MemberList list;
};

/// Callback for the JSON parser that collects events while the document is parsed. Each complete row is
/// converted to a `core::Member` and dropped from the document, and so is each complete event, so that memory
/// is bounded by the members and one row. A row over 64 KiB makes its event malformed.
class MembershipEventReader {
 public:
  /// `path`: the keys from the root of the document to the array of events. Empty if the document is one
  /// event.
  explicit MembershipEventReader(std::vector<std::string> path) : path_(std::move(path)) {}

  /// The parser callback. Returns false for a value that is to be dropped from the document. Cost: linear in
  /// the size of a row.
  bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed);

  /// Moves out the events collected so far, in document order.
  std::vector<MembershipEvent> take_events() { return std::move(events_); }

 private:
  std::vector<std::string> path_;
  std::vector<std::string> keys_;  // last key read at each depth
  MembershipEvent current_;
  std::vector<MembershipEvent> events_;

  std::size_t event_depth() const { return path_.empty() ? 0 : path_.size() + 1; }
  bool inside_events() const;
  bool inside_members(std::size_t depth) const;
  void add_member(const nlohmann::json& row);
  void add_event(const nlohmann::json& event);
};

/// One line of the membership log. `last_seq` is set for a line that holds only the number of the last event,
/// either bare or as the only key of an object. Neither member is set if the line cannot be read.
struct MembershipLine {
  std::optional<std::uint64_t> last_seq;
  std::optional<MembershipEvent> event;
};

/// Parses one line. Cost: linear in its length.
MembershipLine read_membership_line(const std::string& line);

}  // namespace pathstack::config

#include "config/membership_events.h"

#include <algorithm>
#include <utility>

#include "config/json_read.h"

namespace pathstack::config {
namespace {

using core::WorkerState;
using ParseEvent = nlohmann::json::parse_event_t;

constexpr std::size_t kMaxRowBytes = std::size_t{64} * 1024;
constexpr std::size_t kValueBytes = 4;  // estimate for a JSON value without its string
// Nesting depths relative to the event.
constexpr std::size_t kFleetDepth = 1, kMembersDepth = 2, kRowDepth = 3;

WorkerState state_of(const std::string& phase) {
  if (phase == "ready") return WorkerState::ready;
  if (phase == "gone") return WorkerState::gone;
  return WorkerState::draining;  // also for an unknown phase: the host gets no new calls
}

// Estimates the size of a row, to bound the memory that it takes: the bytes of names and strings, plus
// kValueBytes for each value.
std::size_t estimated_bytes(const json& value) {
  if (value.is_string()) return kValueBytes + value.get_ref<const std::string&>().size();
  std::size_t sum = kValueBytes;
  if (value.is_array()) {
    for (const auto& item : value) sum += estimated_bytes(item);
  }
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) sum += name.size() + estimated_bytes(item);
  }
  return sum;
}

core::Member read_member(const json& row) {
  core::Member member;
  member.entry.worker = text(key(row, "id"));
  member.address = text(key(row, "host_port"));
  member.entry.zone = text(key(row, "locality"));
  member.entry.kind = text(key(row, "flavor"));
  member.entry.cell = integer(key(row, "cell"));
  member.entry.weight = number(key(row, "size"), 1);
  member.entry.started = Millis(number(key(row, "up_since_ms")));
  member.entry.state = state_of(text(key(row, "phase")));
  return member;
}

}  // namespace

bool MembershipEventReader::inside_events() const {
  if (keys_.size() <= path_.size()) return path_.empty();
  return std::equal(path_.begin(), path_.end(), keys_.begin() + 1);
}

bool MembershipEventReader::inside_members(std::size_t depth) const {
  const std::size_t base = event_depth();
  return depth == base + kRowDepth && keys_.size() > base + kMembersDepth &&
         keys_[base + kFleetDepth] == "fleet" && keys_[base + kMembersDepth] == "members";
}

bool MembershipEventReader::operator()(int depth, ParseEvent event, json& parsed) {
  const auto level = static_cast<std::size_t>(depth);
  if (event == ParseEvent::key) {
    keys_.resize(level + 1);
    keys_[level] = parsed.get_ref<const std::string&>();
    return true;
  }
  if (event != ParseEvent::object_end || level < event_depth() || !inside_events()) return true;
  if (level == event_depth()) {
    add_event(parsed);
    return false;
  }
  if (!inside_members(level)) return true;
  add_member(parsed);
  return false;
}

void MembershipEventReader::add_member(const json& row) {
  auto member = read_member(row);
  // Skipping the row would lose its host for good, so the whole event is malformed and is requested again.
  const bool usable = !member.entry.worker.empty() && !text(key(row, "phase")).empty();
  if (!usable || estimated_bytes(row) > kMaxRowBytes) {
    current_.malformed = true;
    return;
  }
  current_.list.members.push_back(std::move(member));
}

void MembershipEventReader::add_event(const json& event) {
  MembershipEvent read = std::exchange(current_, MembershipEvent());
  if (key(event, "seq").is_number_unsigned()) read.seq = uint64(key(event, "seq"));
  read.is_last_seq = read.seq && event.size() == 1;
  const json& fleet = key(event, "fleet");
  read.has_members = event.contains("fleet");
  read.list.complete = boolean(key(fleet, "complete"));
  const json& rest = key(fleet, "members");
  // add_member has removed the rows that are objects; any row that remains cannot be read.
  if (read.has_members && (!rest.is_array() || !rest.empty())) read.malformed = true;
  events_.push_back(std::move(read));
}

MembershipLine read_membership_line(const std::string& line) {
  MembershipEventReader reader({});
  const auto callback = [&reader](int depth, ParseEvent event, json& parsed) {
    return reader(depth, event, parsed);
  };
  const json rest = json::parse(line, callback, false);
  MembershipLine out;
  if (rest.is_number_unsigned()) out.last_seq = rest.get<std::uint64_t>();
  auto events = reader.take_events();
  if (rest.is_discarded() || events.size() != 1) return out;
  if (events.front().is_last_seq) {
    out.last_seq = events.front().seq;
  } else {
    out.event = std::move(events.front());
  }
  return out;
}

}  // namespace pathstack::config

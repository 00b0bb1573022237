#include "simulator_adapter/event_decoder.h"

#include <map>
#include <utility>

#include "config/json_read.h"

namespace pathstack::simulator_adapter {
namespace {

using config::at;
using config::boolean;
using config::integer;
using config::json;
using config::millis;
using config::number;
using config::text;
using config::uint64;
namespace event = policy::event;

// Flags of an `Order` message.
constexpr int kHasCostHint = 1;
constexpr int kIsRetry = 2;
constexpr int kIsWrite = 4;

// Third value of a `Result` message: the warmth of the instance in the low bits, above them the number of
// concurrent calls of the function at the worker.
constexpr int kWarmthMask = 7;
constexpr int kConcurrentCallsShift = 3;

constexpr int kReadyState = 2;  // state of a list entry, also if the entry states none

policy::Outcome decode_outcome(const json& value) {
  using policy::Outcome;
  static const std::map<std::string, Outcome> kOutcomes = {
      {"GOOD", Outcome::ok},      {"BAD", Outcome::error}, {"FULL", Outcome::full},
      {"LATE", Outcome::timeout}, {"RST", Outcome::reset}, {"NOCONN", Outcome::connect_failed},
      {"NOP", Outcome::moot},     {"MISS", Outcome::miss}, {"CXL", Outcome::cancelled}};
  return config::enum_value(text(value), kOutcomes, Outcome::error);
}

policy::Warmth decode_warmth(int remark) {
  const int code = remark & kWarmthMask;
  const bool known =
      code >= static_cast<int>(policy::Warmth::warm) && code <= static_cast<int>(policy::Warmth::load_failed);
  return known ? static_cast<policy::Warmth>(code) : policy::Warmth::unknown;
}

policy::Report decode_load_report(const json& row) {
  if (!row.is_array()) return std::nullopt;
  std::vector<double> values;
  for (const auto& value : row) values.push_back(number(value));
  return values;
}

policy::WorkerState decode_worker_state(const json& value) {
  switch (integer(value, kReadyState)) {
    case 0: return policy::WorkerState::gone;
    case 1: return policy::WorkerState::draining;
    default: return policy::WorkerState::ready;
  }
}

policy::WorkerEntry decode_worker_entry(const json& row) {
  if (!row.is_array()) throw ProtocolError("list entry is not an array");
  policy::WorkerEntry entry;
  entry.worker = required_text(at(row, 0), "worker");
  entry.cell = integer(at(row, 1));
  entry.weight = number(at(row, 2), 1);
  entry.kind = text(at(row, 3));
  entry.state = decode_worker_state(at(row, 4));
  entry.started = millis(at(row, 5));
  entry.zone = text(at(row, 6));
  return entry;
}

policy::ListKind decode_list_kind(const json& value) {
  switch (integer(value)) {
    case 1: return policy::ListKind::delta;
    case 2: return policy::ListKind::cached;
    case 4: return policy::ListKind::full;
    default: return policy::ListKind::failed;
  }
}

policy::Event decode_worker_list(const json& message, const Catalog& catalog) {
  event::WorkerList list;
  list.kind = decode_list_kind(at(message, 2));
  if (list.kind == policy::ListKind::failed) return list;
  const auto* page = catalog.find(number(at(message, 3), 0));
  if (page != nullptr) list.entries = *page;
  return list;
}

policy::Event decode_request(const json& message) {
  event::Request request;
  request.id = required_text(at(message, 1), "request id");
  request.class_name = text(at(message, 2));
  const int flags = integer(at(message, 5));
  const bool has_cost_hint = (flags & kHasCostHint) != 0 && at(message, 3).is_number();
  if (has_cost_hint) request.cost_hint = number(at(message, 3));
  request.tenant = text(at(message, 4));
  request.retry = (flags & kIsRetry) != 0;
  request.write = (flags & kIsWrite) != 0;
  request.memory_mb = number(at(message, 6));
  request.function = uint64(at(message, 7));
  if (at(message, 8).is_number()) request.load_hint = millis(at(message, 8));
  request.expires_in = millis(at(message, 9));
  request.concurrency = integer(at(message, 10), 1);
  return request;
}

policy::Event decode_attempt_ended(const json& message) {
  event::AttemptEnded answer;
  answer.id = required_text(at(message, 1), "request id");
  const int remark = integer(at(message, 2));
  answer.warmth = decode_warmth(remark);
  answer.concurrent_calls = remark >> kConcurrentCallsShift;
  answer.outcome = decode_outcome(at(message, 3));
  answer.request_finished = boolean(at(message, 4));
  answer.elapsed = millis(at(message, 5));
  answer.attempt = integer(at(message, 6));
  answer.worker = text(at(message, 7));
  answer.report = decode_load_report(at(message, 8));
  return answer;
}

policy::Event decode_timer(const json& message) { return event::Timer{uint64(at(message, 1))}; }

policy::Event decode_load_ended(const json& message) {
  event::LoadEnded loaded;
  loaded.worker = text(at(message, 1));
  loaded.function = uint64(at(message, 2));
  loaded.outcome = decode_outcome(at(message, 3));
  loaded.elapsed = millis(at(message, 4));
  loaded.instances = integer(at(message, 5));
  return loaded;
}

policy::Event decode_request_abandoned(const json& message) {
  return event::RequestAbandoned{text(at(message, 1))};
}

policy::Event decode_stream_started(const json& message) {
  return event::StreamStarted{text(at(message, 1)), integer(at(message, 2))};
}

policy::Event decode_probe_ended(const json& message) {
  event::ProbeEnded probed;
  probed.outcome = decode_outcome(at(message, 1));
  probed.elapsed = millis(at(message, 2));
  probed.worker = text(at(message, 3));
  probed.report = decode_load_report(at(message, 4));
  return probed;
}

policy::Event decode_peer_message(const json& message) {
  return event::PeerMessage{integer(at(message, 1)), text(at(message, 2))};
}

policy::Event decode_stop(const json& /*message*/) { return event::Stop{}; }

using Decoder = policy::Event (*)(const json& message);

/// The decoders by message name. `Discovery` is handled separately because it needs the catalog.
const std::map<std::string, Decoder>& decoders() {
  static const std::map<std::string, Decoder> kByName = {{"Order", decode_request},
                                                         {"Result", decode_attempt_ended},
                                                         {"Ring", decode_timer},
                                                         {"BroughtUp", decode_load_ended},
                                                         {"Gone", decode_request_abandoned},
                                                         {"HeadReceived", decode_stream_started},
                                                         {"Sampled", decode_probe_ended},
                                                         {"Heard", decode_peer_message},
                                                         {"PowerOff", decode_stop}};
  return kByName;
}

}  // namespace

const std::string& required_text(const json& value, const char* what) {
  if (!value.is_string()) throw ProtocolError(std::string(what) + " is missing or not a string");
  return value.get_ref<const std::string&>();
}

void Catalog::read_page(const json& message) {
  const double page = number(at(message, 1), -1);
  if (find(page) == nullptr) throw ProtocolError("unknown catalog page");
  std::vector<policy::WorkerEntry> entries;
  for (const auto& row : at(message, 2)) entries.push_back(decode_worker_entry(row));
  pages_[static_cast<std::size_t>(page)] = std::move(entries);
}

const std::vector<policy::WorkerEntry>* Catalog::find(double page) const {
  if (page < 0 || page >= static_cast<double>(kPages)) return nullptr;
  return &pages_[static_cast<std::size_t>(page)];
}

std::optional<policy::Event> decode_event(const json& message, const Catalog& catalog) {
  const std::string& name = required_text(at(message, 0), "message name");
  if (name == "Discovery") return decode_worker_list(message, catalog);
  const auto found = decoders().find(name);
  if (found == decoders().end()) return std::nullopt;
  return found->second(message);
}

}  // namespace pathstack::simulator_adapter

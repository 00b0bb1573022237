// The interface of the decision module: settings and events go in, actions come out. No decision lives here.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pathstack::policy {

using Millis = std::chrono::duration<double, std::milli>;  // a span, or a time on the caller's clock

enum class Semantics { repeatable, keyed, once };  // may it run again?
enum class KeyScope { all, zone, cell };           // workers that drop a repeated key
enum class ReportMode { none, answers, probe };    // how load reports arrive
enum class WorkerState { gone, draining, ready };
enum class ListKind { delta, cached, failed, full };
// The last two never come over the simulator's wire:
// not_sent: a fault of this machine (no descriptor, port or connection to be had) kept it from leaving; it
// says
//   nothing of the worker.
// unreachable: the network gave up on the connection (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH) after the attempt
//   had left; it may have run, and the worker's process may be well.
enum class Outcome {
  ok,
  error,
  full,
  timeout,
  connect_failed,
  reset,
  cancelled,
  moot,
  miss,
  not_sent,
  unreachable
};
inline bool proves_never_ran(Outcome o) {  // as the wire states it
  return o == Outcome::full || o == Outcome::connect_failed || o == Outcome::moot || o == Outcome::miss ||
         o == Outcome::not_sent;
}
enum class ReportField { inflight, queue, utilisation, latency_ms, rate, errors, pinned, loading, other };
enum class Warmth {
  unknown,
  warm,
  started_load,
  awaited_load,
  load_failed
};  // what an answer says of the copy

/// Times left at zero mean: not known, or no such limit.
struct ClassSettings {
  std::string name;
  Semantics semantics = Semantics::once;
  KeyScope scope = KeyScope::all;
  Millis key_window{0}, latency_objective{0}, deadline{0};
  double objective_slowdown = 0, value = 1, late_value = 0;
  bool stream = false;
};
struct TenantSettings {
  std::string name;
  double share = 0, quota_per_s = 0;
};
struct Settings {
  std::string zone;
  int rank = 0, invokers = 1;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::map<std::string, double> kind_memory_mb;
  Millis tick{0}, answer_grace{0}, drain_grace{0}, slow_start_duration{0}, cold_overload_window{0},
      ask_within{0};
  double slow_start_initial_capacity = 0, cold_overload_multiple = 0;
  Millis keep_alive{0}, order_timeout{0}, load_window{0};
  double load_floor = 0, load_ratio = 0;
  bool rejects_on_miss = false, load_orders = false, reports_warmth = false, reports_concurrent_calls = false;
  bool cancel = false, hedged_attempts = false, probes = false, peer_messages = false, requests_list = false;
  bool retry_after = false, value_per_work = false;
  Millis max_retry_after{0}, connect_timeout{0};
  int max_attempts = 1;
  ReportMode reports = ReportMode::none;
  std::vector<ReportField> report_fields;
  double over_share_value = 1, cross_zone_cost = 0, origin_cost = 0, probe_cost = 0, idle_cost = 0;
  std::uint64_t seed = 0;
};

using Report = std::optional<std::vector<double>>;

struct WorkerEntry {
  std::string worker, kind, zone;
  int cell = 0;
  double weight = 1;
  WorkerState state = WorkerState::ready;
  Millis started{0};
};

namespace event {
struct Start {
  Settings settings;
};
struct Stop {};
struct WorkerList {
  ListKind kind = ListKind::full;
  std::vector<WorkerEntry> entries;
};
/// Never comes over the simulator's wire, which tells every change: the list of workers is current until
/// then. From that time on changes that were not received may count as told. May also be before the last one.
struct ListLease {
  Millis until{0};
  Millis later_changes_from{0};  // no change that was made after `until` counts as told before this
};
/// Never comes over the simulator's wire: the worker has closed the last connection to it. Its process may
/// have ended, and another one may run.
struct ConnectionsLost {
  std::string worker;
};
struct Request {
  std::string id, class_name, tenant;
  std::optional<double> cost_hint;
  bool retry = false, write = false;
  std::uint64_t function = 0;
  double memory_mb = 0;
  std::optional<Millis> load_hint;
  Millis expires_in{0};
  int concurrency = 1;
};
struct StreamStarted {
  std::string id;
  int attempt = 0;
};
struct AttemptEnded {
  std::string id, worker;
  int attempt = 0;
  Outcome outcome = Outcome::error;
  Warmth warmth = Warmth::unknown;
  int concurrent_calls = 0;
  bool request_finished = false;
  Millis elapsed{0};
  Report report;
};
struct RequestAbandoned {
  std::string id;
};
struct Timer {
  std::uint64_t token = 0;
};
struct ProbeEnded {
  std::string worker;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  Report report;
};
struct LoadEnded {
  std::string worker;
  std::uint64_t function = 0;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  int instances = 0;
};
struct PeerMessage {
  int from = 0;
  std::string text;
};
}  // namespace event
using Event =
    std::variant<event::Start, event::Stop, event::WorkerList, event::ListLease, event::ConnectionsLost,
                 event::Request, event::StreamStarted, event::AttemptEnded, event::RequestAbandoned,
                 event::Timer, event::ProbeEnded, event::LoadEnded, event::PeerMessage>;

namespace action {
struct Send {
  std::string id, worker;
  Millis timeout{0};
};
struct Load {
  std::string worker;
  std::uint64_t function = 0;
  int instances = 0;
};  // 0 copies: only ask
struct Unload {
  std::string worker;
  std::uint64_t function = 0;
};
struct Refuse {
  std::string id;
  Millis retry_after{0};
};
struct Fail {
  std::string id;
};
struct Cancel {
  std::string id;
  int attempt = 0;
};
struct Probe {
  std::string worker;
};
struct SendPeerMessage {
  std::optional<int> to;
  std::string text;
};  // no addressee: every peer
struct SetTimer {
  Millis after{0};
  std::uint64_t token = 0;
};
struct RequestList {
  bool on = true;
};
struct Log {
  std::string text;
};
}  // namespace action
using Action =
    std::variant<action::Send, action::Load, action::Unload, action::Refuse, action::Fail, action::Cancel,
                 action::Probe, action::SendPeerMessage, action::SetTimer, action::RequestList, action::Log>;

/// The decisions of one invoker. It begins with a Start event, reads no clock and needs nothing but its own
/// events. Not thread-safe; may be moved, not copied.
class Policy {
 public:
  Policy();
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  /// Takes an event that happened at `now` and appends the actions that follow from it to `out`. A `now`
  /// before that of an earlier event counts as that. Cost: see the parts under src/policy.
  void handle(Millis now, const Event& event, std::vector<Action>& out);

  /// For operators: counts of decisions by reason, and present values under "now.". Nothing decides by it.
  std::map<std::string, double> statistics() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace pathstack::policy

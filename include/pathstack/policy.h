/// The public interface of the decision module: the caller passes in settings and events, and carries out the
/// actions that come back. Declarations only; the decisions are made under src/policy.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pathstack::policy {

/// A duration, or a point in time on the caller's clock, in milliseconds with fractions.
using Millis = std::chrono::duration<double, std::milli>;

/// How often a request of a class may run: any number of times, more than once under one idempotency key, or
/// at most once.
enum class Semantics { repeatable, keyed, once };
/// Among which workers a repeated idempotency key is recognized and dropped.
enum class KeyScope { all, zone, cell };
/// How load reports arrive: not at all, attached to answers, or in reply to probes.
enum class ReportMode { none, answers, probe };
enum class WorkerState { gone, draining, ready };
/// What a worker list contains: only changes, a complete list that may be out of date, nothing because it
/// could not be fetched, or the complete current list.
enum class ListKind { delta, cached, failed, full };
/// How an attempt, a probe or a load order ended. `not_sent` and `unreachable` have no code in the
/// simulator's protocol.
enum class Outcome {
  ok,
  error,
  full,     // the worker had no free capacity
  timeout,  // no answer in time
  connect_failed,
  reset,  // the connection closed before an answer
  cancelled,
  moot,  // the request was over already
  miss,  // the worker has no instance of the function
  // A local fault (no descriptor, port or connection available) prevented the send; it says nothing about the
  // worker.
  not_sent,
  // The network gave up on the connection (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH) after the attempt was sent.
  // The attempt may have run, and the worker's process may be healthy.
  unreachable
};
/// True if the outcome guarantees that the attempt did not run, as the worker protocol defines it.
inline bool proves_never_ran(Outcome o) {
  return o == Outcome::full || o == Outcome::connect_failed || o == Outcome::moot || o == Outcome::miss ||
         o == Outcome::not_sent;
}
/// What a value of a load report measures.
enum class ReportField { inflight, queue, utilisation, latency_ms, rate, errors, pinned, loading, other };
/// What an answer says about the instance that served it: nothing, it was loaded before, this request started
/// its load, this request waited for a load under way, or its load failed. The simulator's protocol encodes
/// these values by their position.
enum class Warmth { unknown, warm, started_load, awaited_load, load_failed };

/// Settings of one class of requests. A time of zero means that it is unknown or that there is no such limit.
struct ClassSettings {
  std::string name;
  Semantics semantics = Semantics::once;
  KeyScope scope = KeyScope::all;
  Millis key_window{0};  // how long workers remember an idempotency key
  Millis latency_objective{0}, deadline{0};
  double objective_slowdown = 0;
  double value = 1;       // of an answer within the latency objective; sets the priority
  double late_value = 0;  // of an answer after the latency objective, as a fraction of `value`
  bool stream = false;
};
/// Settings of one tenant.
struct TenantSettings {
  std::string name;
  double share = 0, quota_per_s = 0;
};
/// Settings of the decision module. A time of zero means that it is unknown or that there is no such limit.
struct Settings {
  std::string zone;
  int rank = 0;      // index of this invoker among all invokers
  int invokers = 1;  // number of invokers that share the workers
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::map<std::string, double> kind_memory_mb;
  Millis tick{0};  // requests are ended this long before their deadline
  Millis answer_grace{0}, drain_grace{0};
  Millis slow_start_duration{0};  // how long a new worker takes to reach its full capacity
  Millis cold_overload_window{0};
  Millis ask_within{0};
  double slow_start_initial_capacity = 0;  // of a new worker, as a fraction of its full capacity
  double cold_overload_multiple = 0;  // bounds the work rate of a new worker, over `cold_overload_window`
  Millis keep_alive{0};               // how long a worker keeps an idle instance
  Millis order_timeout{0};
  // Load orders are limited to `load_floor` plus `load_ratio` for each request, per `load_window`.
  Millis load_window{0};
  double load_floor = 0, load_ratio = 0;
  bool rejects_on_miss = false;  // a worker without an instance answers `miss` instead of loading one
  bool load_orders = false;      // workers accept load orders
  bool reports_warmth = false, reports_concurrent_calls = false;
  bool cancel = false;           // attempts may be cancelled
  bool hedged_attempts = false;  // a request may have more than one attempt open
  bool probes = false;           // workers may be probed
  bool peer_messages = false;    // invokers may exchange messages
  bool requests_list = false;    // the list of workers is sent only on request
  bool retry_after = false;
  bool value_per_work = false;  // `ClassSettings::value` counts per unit of work, not per request
  Millis max_retry_after{0}, connect_timeout{0};
  int max_attempts = 1;  // per request
  ReportMode reports = ReportMode::none;
  std::vector<ReportField> report_fields;
  double over_share_value = 1, cross_zone_cost = 0, origin_cost = 0, probe_cost = 0, idle_cost = 0;
  std::uint64_t seed = 0;
  // Memory of the records of functions, in bytes: beyond it, what is known of unused functions is dropped
  // early.
  std::size_t max_function_bytes = std::numeric_limits<std::size_t>::max();
};

/// A load report: the values of `Settings::report_fields`, in the same order; empty if there is none.
using Report = std::optional<std::vector<double>>;

/// A worker as a worker list names it.
struct WorkerEntry {
  std::string worker, kind, zone;
  int cell = 0;
  double weight = 1;
  WorkerState state = WorkerState::ready;
  Millis started{0};  // when its process started; 0: not stated
};

namespace event {
/// Starts the module, or restarts it with new settings and no state.
struct Start {
  Settings settings;
};
/// Stops the module; later events are ignored until the next Start.
struct Stop {};
/// A list of workers, or changes of it.
struct WorkerList {
  ListKind kind = ListKind::full;
  std::vector<WorkerEntry> entries;
};
/// States until when the list of workers is known to be current. After that, changes may exist that were not
/// received. `until` may also lie before that of the previous lease. Not part of the simulator's protocol,
/// which delivers every change.
struct ListLease {
  Millis until{0};
  Millis later_changes_from{0};  // changes made after `until` count as published from this time on
};
/// The worker has closed the last connection to it. Its process may have ended, and a new one may be running.
/// Not part of the simulator's protocol.
struct ConnectionsLost {
  std::string worker;
};
/// A new request.
struct Request {
  std::string id, class_name, tenant;
  std::optional<double> cost_hint;
  bool retry = false, write = false;
  std::uint64_t function = 0;
  double memory_mb = 0;
  std::optional<Millis> load_hint;  // usual time to load an instance
  Millis expires_in{0};             // time until the client stops waiting
  int concurrency = 1;              // concurrency slots of an instance
};
/// The first part of a streamed answer has arrived.
struct StreamStarted {
  std::string id;
  int attempt = 0;
};
/// An attempt has ended, whether or not the worker answered it.
struct AttemptEnded {
  std::string id, worker;
  int attempt = 0;
  Outcome outcome = Outcome::error;
  Warmth warmth = Warmth::unknown;
  int concurrent_calls = 0;       // requests of this function that the worker held
  bool request_finished = false;  // the request has its final answer
  Millis elapsed{0};
  Report report;
};
/// The client no longer waits for the request.
struct RequestAbandoned {
  std::string id;
};
/// A timer set by action::SetTimer has expired.
struct Timer {
  std::uint64_t token = 0;
};
/// A probe has ended.
struct ProbeEnded {
  std::string worker;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  Report report;
};
/// A load order has ended.
struct LoadEnded {
  std::string worker;
  std::uint64_t function = 0;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  int instances = 0;  // loaded now
};
/// A gossip message from another invoker.
struct PeerMessage {
  int from = 0;  // rank of the sender
  std::string text;
};
}  // namespace event
using Event =
    std::variant<event::Start, event::Stop, event::WorkerList, event::ListLease, event::ConnectionsLost,
                 event::Request, event::StreamStarted, event::AttemptEnded, event::RequestAbandoned,
                 event::Timer, event::ProbeEnded, event::LoadEnded, event::PeerMessage>;

namespace action {
/// Send an attempt of a request to a worker.
struct Send {
  std::string id, worker;
  Millis timeout{0};  // 0: the time that the client still waits
};
/// Order that a worker has instances of a function loaded.
struct Load {
  std::string worker;
  std::uint64_t function = 0;
  int instances = 0;  // 0: only ask how many there are
};
/// Allow a worker to unload a function.
struct Unload {
  std::string worker;
  std::uint64_t function = 0;
};
/// Answer a request as refused because of overload; a retry is safe.
struct Refuse {
  std::string id;
  Millis retry_after{0};  // 0: not stated
};
/// Answer a request as failed.
struct Fail {
  std::string id;
};
/// Cancel an attempt; the request stays open.
struct Cancel {
  std::string id;
  int attempt = 0;
};
/// Ask a worker for a load report.
struct Probe {
  std::string worker;
};
/// Send a gossip message to another invoker.
struct SendPeerMessage {
  std::optional<int> to;  // rank of the receiver; none: all other invokers
  std::string text;
};
/// Deliver event::Timer with `token` after `after`.
struct SetTimer {
  Millis after{0};
  std::uint64_t token = 0;
};
/// Ask for the list of workers and its changes (`Settings::requests_list`).
struct RequestList {
  bool on = true;
};
/// Write an event for the operator.
struct Log {
  std::string text;
};
}  // namespace action
using Action =
    std::variant<action::Send, action::Load, action::Unload, action::Refuse, action::Fail, action::Cancel,
                 action::Probe, action::SendPeerMessage, action::SetTimer, action::RequestList, action::Log>;

/// Makes the decisions of one invoker. Events before the first event::Start are ignored. Reads no clock and
/// does no I/O: the same events give the same actions. Not thread-safe; movable, not copyable.
class Policy {
 public:
  Policy();
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  /// Handles an event that happened at `now` and appends the resulting actions to `out`. A `now` earlier than
  /// that of a previous event is raised to the latest one. Cost: see the components under src/policy.
  void handle(Millis now, const Event& event, std::vector<Action>& out);

  /// Statistics for operators: counts of decisions by reason, and current values under "now.". No decision
  /// depends on them.
  std::map<std::string, double> statistics() const;

  /// Estimated memory of the records of all functions, in bytes. O(1).
  std::size_t function_bytes() const;
  /// Estimated memory in bytes that a request of `function` adds to `function_bytes`: that of a record and of
  /// a list of candidate workers, where the function has none yet. O(1).
  std::size_t bytes_to_add(std::uint64_t function) const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace pathstack::policy

/// A facade of the decision module with a synchronous interface: each call reports what happened and returns
/// the steps to carry out now, including those for requests queued earlier. The module's event and action
/// types do not appear in the interface.
#pragma once

#include <map>
#include <queue>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace pathstack::core {

/// Send an attempt of a call to a host.
struct SendStep {
  CallId call = 0;
  std::string host;
  Millis timeout{0};  // 0: the time that the client has left
};
/// Answer a call as refused: a retry is safe.
struct RefuseStep {
  CallId call = 0;
  Millis retry_after{0};  // 0: not stated
};
/// Answer a call as failed.
struct FailStep {
  CallId call = 0;
};
/// Cancel an attempt; the call stays open.
struct CancelStep {
  Attempt attempt;
};
/// Ask a host for a load report.
struct ProbeStep {
  std::string host;
};
/// Order that a host has instances of a function loaded.
struct LoadStep {
  std::string host;
  std::uint64_t function = 0;
  int instances = 0;  // 0: only ask how many there are
};
/// Allow a host to unload a function.
struct UnloadStep {
  std::string host;
  std::uint64_t function = 0;
};
/// Write an event to the operator's log.
struct LogStep {
  std::string text;
};
/// One decision of the module.
using Step =
    std::variant<SendStep, RefuseStep, FailStep, CancelStep, ProbeStep, LoadStep, UnloadStep, LogStep>;
using Steps = std::vector<Step>;

/// An attempt has ended.
struct AttemptOutcome {
  Attempt attempt;
  std::string host;
  Outcome outcome = Outcome::error;
  bool call_finished = false;  // the call has its final answer
  int concurrent_calls = 0;    // calls of the same function that the host held
  Millis elapsed{0};           // since the attempt was sent
  Report report;
};
/// A load order has ended.
struct LoadOutcome {
  std::string host;
  std::uint64_t function = 0;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};  // since the order was given
  int instances = 0;  // loaded now
};
/// A probe has ended.
struct ProbeOutcome {
  std::string host;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  Report report;
};
/// The client no longer waits for a call.
struct CallAbandoned {
  CallId call = 0;
};
/// A complete list of hosts, or changes of one.
struct HostList {
  ListKind kind = ListKind::full;
  std::vector<WorkerEntry> entries;
};
/// The list of hosts is known to be current until `until`; after that, changes may exist that were not
/// received.
struct ListLease {
  Millis until{0};
  Millis later_changes_from{0};  // changes made after `until` count as published from this time on
};
/// A host has closed the last connection to it.
struct HostConnectionsLost {
  std::string host;
};
/// Anything that can be reported to the module.
using ModuleInput = std::variant<AttemptOutcome, LoadOutcome, ProbeOutcome, CallAbandoned, HostList,
                                 ListLease, HostConnectionsLost>;

/// The decision module and its timers. Owned by the dispatcher. Reads no clock: the caller passes the current
/// time, which must not decrease. Each call that returns steps costs a decision of `policy::Policy`.
class Module {
 public:
  Module(const Settings& settings, Millis now);

  /// Adds a new call.
  Steps add_call(Millis now, CallId id, const Call& call);
  /// Reports an event to the module.
  Steps report(Millis now, const ModuleInput& what);
  /// Fires all timers that are due at `now`.
  Steps tick(Millis now);
  /// When the next timer is due; infinite if none is set.
  Millis next_tick() const;
  /// The module's statistics for operators.
  std::map<std::string, double> statistics() const { return policy_.statistics(); }
  /// The memory of what the module knows of functions, and what a call of `function` would add to it, in
  /// bytes; see `policy::Policy`.
  std::size_t function_bytes() const { return policy_.function_bytes(); }
  std::size_t bytes_to_add(std::uint64_t function) const { return policy_.bytes_to_add(function); }

 private:
  struct Timer {
    Millis at{0};
    std::uint64_t order = 0;  // in which the timers were set
    std::uint64_t token = 0;
    bool operator>(const Timer& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  pathstack::policy::Policy policy_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timers_set_ = 0;

  Steps handle(Millis now, const pathstack::policy::Event& event);
};

}  // namespace pathstack::core

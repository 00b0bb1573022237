/// The decision module behind a facade in blocking style: each call says what happened and returns what to do
/// now, requests queued until now included. The module's events and actions stay on this side.
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
/// Answer a call as refused: a retry is harmless.
struct RefuseStep {
  CallId call = 0;
  Millis retry_after{0};  // 0: not said
};
/// Answer a call as failed.
struct FailStep {
  CallId call = 0;
};
/// Give an attempt up; the call stays open.
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
/// Let a host unload a function.
struct UnloadStep {
  std::string host;
  std::uint64_t function = 0;
};
/// Tell the operator of an event.
struct LogStep {
  std::string text;
};
/// What the module decides.
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
/// Nobody waits for a call any more.
struct CallAbandoned {
  CallId call = 0;
};
/// A complete list of hosts, or changes of one.
struct HostList {
  ListKind kind = ListKind::full;
  std::vector<WorkerEntry> entries;
};
/// Changes of the list of hosts that were not received may count as told from `until` on.
struct ListLease {
  Millis until{0};
  Millis later_changes_from{0};  // those written after `until` do not before this
};
/// A host has closed the last connection to it.
struct HostConnectionsLost {
  std::string host;
};
/// What can be reported to the module.
using ModuleInput = std::variant<AttemptOutcome, LoadOutcome, ProbeOutcome, CallAbandoned, HostList,
                                 ListLease, HostConnectionsLost>;

/// The decision module and its timers. Owned by the dispatcher; knows no clock: every call states the time,
/// which must not decrease. Cost of every call that returns steps: a decision of `policy::Policy`.
class Module {
 public:
  Module(const Settings& settings, Millis now);

  /// A new call.
  Steps add_call(Millis now, CallId id, const Call& call);
  /// Something has happened.
  Steps report(Millis now, const ModuleInput& what);
  /// All timers that are due by `now` have passed.
  Steps tick(Millis now);
  /// When the next timer is due; infinite if none is set.
  Millis next_tick() const;
  /// The module's figures for operators.
  std::map<std::string, double> statistics() const { return policy_.statistics(); }

 private:
  struct Timer {
    Millis at{0};
    std::uint64_t order = 0;  // in which timers were set
    std::uint64_t token = 0;
    bool operator>(const Timer& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  pathstack::policy::Policy policy_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timers_set_ = 0;

  Steps handle(Millis now, const pathstack::policy::Event& event);
};

}  // namespace pathstack::core

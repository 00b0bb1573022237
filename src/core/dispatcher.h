/// Carries calls from their arrival to exactly one final answer, with one attempt at a host at a time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_references.h"
#include "core/call_validator.h"
#include "core/counters.h"
#include "core/event_log.h"
#include "core/load_budget.h"
#include "core/module.h"
#include "core/open_call.h"
#include "core/types.h"

namespace pathstack::core {

/// Owns the open calls. Fronts pass calls in and receive their answers. The decision module returns what to
/// do as steps. Attempts, load orders and probes go out through `Hosts`.
///
/// Enforces, whatever the module decides: at most one open attempt of a call, no more attempts than the
/// settings allow, no second run of a call that must not run twice, and one answer by the call's deadline.
/// Used on the loop's thread only. May be called from inside the callbacks of `Front` and `Hosts`: steps that
/// result from such a call are queued behind the steps being applied.
class Dispatcher {
 public:
  /// Returns the monotonic time.
  using Clock = std::function<Millis()>;
  /// `hosts` and `counters` must outlive this object.
  Dispatcher(const Settings& settings, Clock clock, Hosts& hosts, Counters& counters);

  /// Sets the log of calls that end unserved and of the module's events; `log` must outlive this object.
  /// Without a log nothing is written.
  void set_event_log(EventLog& log) { event_log_ = &log; }

  /// Returns an id for a new call. The id exists before `take`, so that a front can register the call before
  /// its answer arrives.
  CallId next_id() { return ++last_id_; }
  /// Takes a call under an id from `next_id`; its answer may be given before this function returns. Returns
  /// false and counts the reason if the call is invalid or its reference is in use: `front` must then answer
  /// the call as failed. Cost: one decision of the module.
  bool take(CallId id, Call&& call, Front& front);
  /// Ends a call whose client has cancelled or disconnected, without an answer. No effect if the call is not
  /// open. Cost: up to two decisions.
  void abandon(CallId id);
  /// Gives every open call its final answer, at the end of the program. Cost: a decision for each open call.
  void finish_all();

  /// Reports that an attempt that was not cancelled has ended. Cost: a decision, as for every report below.
  void attempt_ended(const Attempt& attempt, AttemptEnd&& end);
  /// Reports that a load order has ended.
  void load_ended(LoadOutcome&& end);
  /// Reports that a probe has ended.
  void probe_ended(ProbeOutcome&& end);
  /// Passes a complete list of hosts, or changes of one, to the module. `Hosts` must have received the list
  /// before, as the module may send to the new hosts at once.
  void update_hosts(HostList&& list);
  /// Reports that a host has closed the last connection to it.
  void host_connections_lost(const std::string& host);
  /// Sets that the list of hosts is current until `until`. Changes made after `until` do not count as
  /// received before `later_changes_from`. `Hosts` must have received the lease before.
  void update_list_lease(Millis until, Millis later_changes_from = Millis(0));
  /// Takes one load order from the load budget, just before the order is written. Returns false and counts
  /// the order as stopped if the budget is spent.
  bool take_load_budget();

  /// Handles all timers and deadlines that are due. Cost: a decision for each.
  void tick();
  /// The time at which `tick` must be called next; infinite if nothing is due.
  Millis next_due() const;
  /// The number of open calls.
  std::size_t open_calls() const { return calls_.size(); }
  /// Estimated memory that `call` holds in all parts of the program while it is open, in bytes.
  static std::size_t bytes_of(const Call& call);
  /// Estimated memory that taking `call` adds to `function_bytes`.
  std::size_t function_bytes_to_add(const Call& call) const { return module_.bytes_to_add(call.function); }
  /// Estimated memory of deadlines and references of calls, in bytes. They outlive their calls for a while.
  std::size_t history_bytes() const;
  /// Estimated memory of what the module knows of functions, in bytes.
  std::size_t function_bytes() const { return module_.function_bytes(); }
  /// The module's statistics for operators.
  std::map<std::string, double> module_statistics() const { return module_.statistics(); }

 private:
  struct Deadline {
    static constexpr int kCallDeadline = -1;
    Millis at{0};
    CallId call = 0;
    int attempt = kCallDeadline;  // number of the attempt, or `kCallDeadline` for the deadline of the call
    bool operator>(const Deadline& o) const {
      return std::tie(at, call, attempt) > std::tie(o.at, o.call, o.attempt);
    }
  };

  Settings settings_;
  Clock clock_;
  Hosts& hosts_;
  Counters& counters_;
  EventLog* event_log_ = nullptr;
  Module module_;
  LoadBudget load_budget_;
  CallValidator validator_;
  CallReferences references_;
  CallId last_id_ = 0;
  std::unordered_map<CallId, OpenCall> calls_;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
  std::deque<Step> steps_;  // still to be applied, in this order
  bool applying_steps_ = false;

  void apply_steps(Steps&& steps);
  void apply(const SendStep& step);
  void apply(const RefuseStep& step);
  void apply(const FailStep& step);
  void apply(const CancelStep& step);
  void apply(const ProbeStep& step) { hosts_.probe(step.host); }
  void apply(const LoadStep& step);
  void apply(const LogStep& step);
  void apply(const UnloadStep& step) { hosts_.unload(step.host, step.function); }

  OpenCall* find_call(CallId id);
  OpenCall* find_call_by_attempt(const Attempt& attempt);
  bool is_valid(const Call& call);
  bool must_run_once(const std::string& class_name) const;
  void reject_send(const SendStep& step, const Attempt& attempt, bool other_attempt_open);
  void time_out_attempt(const Attempt& attempt);
  void fail_overdue_call(CallId id);
  void report_abandoned_attempt(OpenCall& call, Outcome outcome, bool call_finished);
  void finish(CallId id, Answer&& answer);
  void log_unserved(const OpenCall& call, CallStatus status);
};

}  // namespace pathstack::core

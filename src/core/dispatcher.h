/// A call's life: taken, tried at hosts one attempt at a time, ended by exactly one final answer.
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

/// Owns the open calls. Fronts hand calls in and get their answers; the decision module says what to do with
/// each, as steps; the hosts carry attempts, load orders and probes.
///
/// Whatever the module says, a call has at most one attempt out, no more attempts than the settings allow, no
/// second run where it must run once, and one answer by its deadline. Used on the loop's thread only. May be
/// called from inside the callbacks of `Front` and `Hosts`: steps that arise there follow those under way.
class Dispatcher {
 public:
  /// Returns the monotonic time.
  using Clock = std::function<Millis()>;
  /// The references must outlive this object.
  Dispatcher(const Settings& settings, Clock clock, Hosts& hosts, Counters& counters);

  /// Calls that end unserved are told of in `log`, which must outlive this object. Without one nothing is
  /// written.
  void set_event_log(EventLog& log) { event_log_ = &log; }

  /// An id for a new call, made beforehand, so that a front can file the call before an answer comes.
  CallId next_id() { return ++last_id_; }
  /// Takes a call under an id of `next_id`; its answer may be given before this returns. False, with the
  /// reason counted, if no host could use it or its reference is in use: `front` then owes it a failure.
  /// Cost: that of a decision of the module.
  bool take(CallId id, Call&& call, Front& front);
  /// The client is gone: no answer is owed. Nothing happens if the call is not open.
  void abandon(CallId id);
  /// The program ends: every open call gets its final answer now. Cost: a decision for each open call.
  void finish_all();

  /// Reported by the hosts: an attempt that was not cancelled has ended. Cost: a decision, as of all below.
  void attempt_ended(const Attempt& attempt, AttemptEnd&& end);
  /// A load order has ended.
  void load_ended(LoadOutcome&& end);
  /// A probe has ended.
  void probe_ended(ProbeOutcome&& end);
  /// The membership log has a complete list, or changes. The hosts must know of them before.
  void update_hosts(HostList&& list);
  /// A host has closed the last connection to it.
  void host_connections_lost(const std::string& host);
  /// The list of hosts may be relied on until then; changes after that count as told from
  /// `later_changes_from` on. The hosts must know of it before.
  void update_list_lease(Millis until, Millis later_changes_from = Millis(0));
  /// Asked when a load order is about to be written; false, and counted, if the load budget is spent.
  bool take_load_budget();

  /// Does all that is due by now. Cost: a decision for each timer and deadline that has passed.
  void tick();
  /// When `tick` has to be called next; infinite if nothing is due.
  Millis next_due() const;
  /// The number of open calls.
  std::size_t open_calls() const { return calls_.size(); }
  /// The module's figures for operators.
  std::map<std::string, double> module_statistics() const { return module_.statistics(); }

 private:
  struct Deadline {
    static constexpr int kCallDeadline = -1;
    Millis at{0};
    CallId call = 0;
    int attempt = kCallDeadline;  // its number, or `kCallDeadline` for the call's own deadline
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
  std::deque<Step> steps_;  // yet to be applied, in their order
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

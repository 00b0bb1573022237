// Which workers are healthy: passive outlier detection, suspicion after broken connections, gossip of losses.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "policy/common.h"
#include "policy/function_table.h"
#include "policy/membership_lease.h"
#include "policy/service_times.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Decides whether a worker may be used, as a whole and by class.
///
/// - Failures of a class at a worker are judged against the same class elsewhere: a class that fails
/// everywhere ejects
///   nobody. An ejection doubles with each relapse; after it the worker is half-open, one attempt at a time.
/// - Answers that end no request and tell nothing of it (moot, and unreadable ones) count as failures.
/// - A worker with attempts in flight that answers nothing for several usual runs is silent and not used.
/// Where
///   all that is in flight may wait for a load, the time of a load is added.
/// - One broken connection makes its worker suspect: a probe on another connection tells whether it runs.
/// Lost probes
///   in a row mark it down, unless it has answered meanwhile.
/// - A worker that is down counts as restarted when it answers again; peers are notified at once, since one
/// that
///   restarts before the list tells of it would get the full load of many invokers.
///
/// Owned by Policy; marks instances of a worker that goes down as gone in FunctionTable. All calls are O(1),
/// but for marking down: O(functions x instances).
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const WorkerTable& workers, const MembershipLease& lease,
                  const ServiceTimes& times, FunctionTable& functions, ActionSink& actions);

  /// A new worker takes the place, or its worker was pruned.
  void reset(WorkerIndex worker);
  /// Another process: what was judged is void.
  void restarted(WorkerIndex worker);

  /// Ready by the list, and healthy as a whole.
  bool is_healthy(WorkerIndex index, Millis now) const;
  /// Healthy, and not withheld while the list is not current.
  bool is_usable(WorkerIndex index, Millis now) const;
  /// Not ejected for requests of this class; is_usable is a condition of its own.
  bool serves_class(WorkerIndex index, int class_index, Millis now) const;
  bool is_silent(WorkerIndex index, Millis now) const;
  bool is_down(WorkerIndex worker) const { return records_[worker].down; }

  void record_success(WorkerIndex worker, int class_index, Millis now);
  void record_failure(WorkerIndex worker, int class_index, Millis now);
  /// Answers of the worker, of any class, were lost with its connection: one failure, however many.
  void record_lost_answers(WorkerIndex worker, int class_index, Millis now);
  void eject(WorkerIndex worker, Millis now);
  /// For an error faster than a run, which no load can have caused.
  void eject_class_for_fast_error(WorkerIndex worker, int class_index, Millis now);

  /// A connection to the worker broke or could not be opened; `reset`: its process may have died.
  void connection_failed(WorkerIndex worker, bool reset, Millis now);
  /// The network gave up on a connection; the process may well run on, so this is no sign of a restart.
  void network_unreachable(WorkerIndex worker, Millis now);

  /// True if the worker was down until now: it counts as restarted.
  bool note_alive(WorkerIndex worker, Millis now);
  /// The outcome of a probe that was not answered.
  void probe_failed(WorkerIndex worker, Outcome outcome, Millis now);
  /// The probe was answered: the worker is no longer suspect.
  void probe_answered(WorkerIndex worker) { records_[worker].suspect_since = kNever; }
  void peer_reported_down(WorkerIndex worker, Millis now);

  /// Asks again where a fault of this machine kept the probe of a suspect worker from leaving.
  void repeat_probes(Millis now);

 private:
  struct Health {  // of one class at one worker, or of the worker as a whole
    double error_rate = 0;
    Millis ejected_until{kNever};
    Millis ejection{0};
    bool half_open = false;
  };
  struct Record {
    Health overall;
    std::vector<Health> classes;  // by class_slot
    Millis answers_lost_at{kNever};
    bool down = false;  // seen to be down, not yet seen to be back
    Millis answered_at{kNever};
    Millis gossiped_down_at{kNever};  // by this invoker or a peer
    Millis suspect_since{kNever};     // the latest probe that is to clear it was asked for then
    bool suspect_by_reset = false;
    int probes_lost = 0;  // since it became suspect
  };
  struct ProbeToRepeat {
    Millis at{0};
    std::string worker;  // by id: its place may be another's by then
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  const MembershipLease& lease_;
  const ServiceTimes& times_;
  FunctionTable& functions_;
  ActionSink& actions_;
  std::vector<Record> records_;                 // by WorkerIndex
  std::vector<double> class_error_rates_;       // by class_slot: share that failed of late, at any worker
  std::deque<ProbeToRepeat> probes_to_repeat_;  // in order of time

  static bool admits(const Health& health, const Worker& worker, Millis now);
  static bool has_answered_recently(const Record& record, Millis now);
  void record_outcome(WorkerIndex worker, int class_index, bool failed, Millis now);
  static void eject(Health& health, Millis first, Millis now);
  void send_probe(WorkerIndex worker, Millis now);
  void mark_unreachable(WorkerIndex worker, bool died, Millis now);
  void mark_down(WorkerIndex worker);
  void gossip_down(WorkerIndex worker, Millis now);
};

}  // namespace pathstack::policy

/// Health of workers: passive outlier detection, probes after broken connections, gossip about lost workers.
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
/// - The failure rate of a class at a worker is compared with that of the class at all workers, so a class
///   that fails everywhere ejects no worker. The duration of an ejection doubles with each relapse. After an
///   ejection the worker is half-open: it gets one attempt at a time until one succeeds.
/// - Answers that do not end their request (moot and unreadable ones) count as failures.
/// - A worker with attempts in flight that sends no answer for several mean run times is silent and is not
///   used. If every attempt in flight may be waiting for a load, the load timeout is added.
/// - A broken connection makes the worker suspect: a probe on another connection shows whether it still runs.
///   Several lost probes in a row mark the worker down, unless it has answered meanwhile.
/// - A worker that is down counts as restarted when it answers again. Peers are notified at once, since a
///   worker that restarts before the list reports it would get the full load of many invokers.
///
/// Owned by Engine. When a worker goes down, its instances are marked as gone in FunctionTable, which is
/// O(functions x instances); all other calls are O(1).
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const WorkerTable& workers, const MembershipLease& lease,
                  const ServiceTimes& times, FunctionTable& functions, ActionSink& actions);

  /// Clears the state at the index: a new worker has it, or its worker was pruned.
  void reset(WorkerIndex worker);
  /// The worker has a new process: clears all ejections and failure rates.
  void restarted(WorkerIndex worker);

  /// Ready according to the list, and neither ejected as a whole, silent nor suspect.
  bool is_healthy(WorkerIndex index, Millis now) const;
  /// Healthy, and not withheld while the list is not current.
  bool is_usable(WorkerIndex index, Millis now) const;
  /// Not ejected for requests of this class. Does not imply is_usable.
  bool serves_class(WorkerIndex index, int class_index, Millis now) const;
  bool is_silent(WorkerIndex index, Millis now) const;
  bool is_down(WorkerIndex worker) const { return records_[worker].down; }

  void record_success(WorkerIndex worker, int class_index, Millis now);
  void record_failure(WorkerIndex worker, int class_index, Millis now);
  /// Answers of the worker were lost with their connection. Losses within kLossWindow, of any class, count as
  /// one failure.
  void record_lost_answers(WorkerIndex worker, int class_index, Millis now);
  void eject(WorkerIndex worker, Millis now);
  /// Ejects a class after an error that came faster than a run takes, which overload cannot explain.
  void eject_class_for_fast_error(WorkerIndex worker, int class_index, Millis now);

  /// A connection to the worker broke or could not be opened. `reset`: the worker's process may have died.
  void connection_failed(WorkerIndex worker, bool reset, Millis now);
  /// The network gave up on a connection. The process may still run, so this does not indicate a restart.
  void network_unreachable(WorkerIndex worker, Millis now);

  /// Records an answer of the worker. True if the worker was down until now and so counts as restarted.
  bool note_alive(WorkerIndex worker, Millis now);
  /// Handles a probe that was not answered.
  void probe_failed(WorkerIndex worker, Outcome outcome, Millis now);
  /// Handles an answered probe: the worker is no longer suspect.
  void probe_answered(WorkerIndex worker) { records_[worker].suspect_since = kNever; }
  void peer_reported_down(WorkerIndex worker, Millis now);

  /// Sends the probes of suspect workers again that a fault of this machine kept from being sent.
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
    bool down = false;  // cleared by the next answer
    Millis answered_at{kNever};
    Millis gossiped_down_at{kNever};  // the last message of this invoker or a peer
    Millis suspect_since{kNever};  // when the last probe to clear the suspicion was sent; kNever: not suspect
    bool suspect_by_reset = false;
    int probes_lost = 0;  // in a row, since the worker became suspect
  };
  struct ProbeToRepeat {
    Millis at{0};
    std::string worker;  // the id, as the index may belong to another worker by then
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  const MembershipLease& lease_;
  const ServiceTimes& times_;
  FunctionTable& functions_;
  ActionSink& actions_;
  std::vector<Record> records_;                 // by WorkerIndex
  std::vector<double> class_error_rates_;       // by class_slot: recent failure rate at all workers
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

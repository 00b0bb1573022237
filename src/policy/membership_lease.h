// Which workers may be given new work while the membership log is out of reach.
#pragma once

#include <cstddef>
#include <limits>
#include <vector>

#include "policy/common.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Lease on the list of workers, and leases on single workers beside it.
///
/// The platform's rule 3 counts a drain as told by its own clocks, whether this invoker received it or not:
/// once the lease on the list has ended, any worker may have drained unheard. A worker that drains turns new
/// work away, also a probe. So one that has accepted work, or answered a probe with well, was not draining
/// when that was sent, and may be given new work for a part of the drain grace from then on. Any other worker
/// is asked first, by a probe, when work waits for it. Where the settings allow no probe, only workers that
/// accept work often enough stay in use.
///
/// Owned by Policy; asked through OutlierDetector::is_usable and by Scheduler. Every call is O(1). The
/// incident behind it: docs/incidents/2026-12-02-membership-outage.md.
class MembershipLease {
 public:
  MembershipLease(const Settings& settings, const WorkerTable& workers, ActionSink& actions);

  /// A new worker takes the place, or its worker was pruned.
  void reset(WorkerIndex worker);

  /// Changes that were not received may count as told from `until` on. It may also be before the last one.
  /// Without any call the list is always current, as on the simulator's wire, which tells every change.
  void set_list_current_until(Millis until) { list_current_until_ = until; }
  bool is_list_current(Millis now) const { return now <= list_current_until_ + lease_; }

  /// New work may go to the worker now.
  bool is_confirmed(WorkerIndex worker, Millis now) const;
  /// New work may go there now, or once a probe has been answered.
  bool is_candidate(WorkerIndex worker, Millis now) const;
  /// Asks the worker whether it takes new work; no effect if it was asked a moment ago.
  void ask(WorkerIndex worker, Millis now);

  /// The worker has accepted what was sent to it at `sent_at`.
  void accepted(WorkerIndex worker, Millis sent_at);
  /// It has turned a call or an order away: full, or draining.
  void turned_away(WorkerIndex worker) { records_[worker].accepted_at = kNever; }
  /// Its process may have ended: nothing that it accepted vouches for it.
  void connections_lost(WorkerIndex worker) { records_[worker].accepted_at = kNever; }

  /// What the end of a probe says of the worker while the list is not current.
  enum class Word {
    none,       // no word of its own, or the list is current
    well,       // it takes new work
    not_well,   // it drains, or is ill
    well_again  // it was not well before: a drain ends with the process, so another one answers
  };
  /// A probe has ended, whoever asked for it.
  Word probe_ended(WorkerIndex worker, const event::Probed& probe, Millis now);

  /// Workers that are ready by the list and not candidates now. O(workers).
  std::size_t withheld(Millis now) const;
  /// Probes sent to confirm a worker.
  std::size_t asked() const { return asked_; }
  /// Answers to probes that a worker is not well, while the list was not current.
  std::size_t denied() const { return denied_; }

 private:
  struct Record {
    Millis accepted_at{kNever};     // it was not draining then
    Millis asked_at{kNever};        // kNever: no probe is out
    Millis withheld_until{kNever};  // it is not well, or cannot be asked
    bool was_not_well = false;      // by its last word
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  ActionSink& actions_;
  const Millis lease_;
  Millis list_current_until_{std::numeric_limits<double>::infinity()};
  std::vector<Record> records_;  // by WorkerIndex
  std::size_t asked_ = 0, denied_ = 0;

  Word deny(WorkerIndex worker, Millis now);
  void withhold(WorkerIndex worker, Millis until, const char* reason);
};

}  // namespace pathstack::policy

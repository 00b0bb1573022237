// Which workers may be given new work while the membership log is out of reach.
#pragma once

#include <cstddef>
#include <cstdint>
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
/// is asked first, by a probe, when work waits for it. Where the settings allow no probe, only those stay in
/// use that are kept (see LeaseRenewal) and accept work, or load orders, often enough.
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
  void set_list_lease(const event::ListLease& lease) { list_ = lease; }
  Millis list_current_until() const { return list_.until; }
  bool is_list_current(Millis now) const { return now <= list_.until + duration_; }
  /// How long something that a worker accepted vouches for it.
  Millis duration() const { return duration_; }

  /// New work may go to the worker now.
  bool is_confirmed(WorkerIndex worker, Millis now) const;
  /// New work may go there now, or once a probe has been answered.
  bool is_candidate(WorkerIndex worker, Millis now) const;
  /// Asks the worker whether it takes new work; no effect if it was asked a moment ago.
  void send_probe(WorkerIndex worker, Millis now);

  /// The worker was not draining when something that it accepted was sent, or the list was current: whatever
  /// it has said since, the drain grace may be used from then on.
  bool has_lease(WorkerIndex worker, Millis now) const;
  /// From when on the drain grace of the worker may run: it may have begun to drain unheard by then.
  Millis lease_start(WorkerIndex worker) const;
  /// When the last thing that it accepted was sent.
  Millis accepted_at(WorkerIndex worker) const { return records_[worker].accepted_at; }
  /// The function of that.
  std::uint64_t accepted_function(WorkerIndex worker) const { return records_[worker].accepted_function; }
  /// It has turned something away since: it is full, or drains.
  bool has_rejected_work(WorkerIndex worker) const {
    return records_[worker].rejected_at >= records_[worker].accepted_at &&
           records_[worker].rejected_at > kNever;
  }

  /// The worker has accepted what was sent to it at `sent_at`, for a function that stands there now.
  void work_accepted(WorkerIndex worker, std::uint64_t function, Millis sent_at);
  /// It has turned a call or an order away: full, or draining.
  void work_rejected(WorkerIndex worker, Millis now) { records_[worker].rejected_at = now; }
  /// It drains, or its process may have ended: nothing that it accepted vouches for it.
  void revoke(WorkerIndex worker) { records_[worker].accepted_at = kNever; }

  /// Without probes, new work goes to kept workers alone while the list is not current.
  void set_kept(WorkerIndex worker, bool kept) { records_[worker].kept = kept; }
  bool is_kept(WorkerIndex worker) const { return records_[worker].kept; }

  /// What the end of a probe says of the worker while the list is not current.
  enum class ProbeVerdict {
    none,       // no word of its own, or the list is current
    healthy,    // it takes new work
    unhealthy,  // it drains, or is ill
    recovered   // it was not well before: a drain ends with the process, so another one answers
  };
  /// A probe has ended, whoever asked for it.
  ProbeVerdict probe_ended(WorkerIndex worker, const event::ProbeEnded& probe, Millis now);

  /// Workers that are ready by the list and not candidates now. O(workers).
  std::size_t withheld_count(Millis now) const;
  /// Probes sent to confirm a worker.
  std::size_t probes_sent() const { return probes_sent_; }
  /// Answers to probes that a worker is not well, while the list was not current.
  std::size_t unhealthy_answers() const { return unhealthy_answers_; }

 private:
  struct Record {
    Millis accepted_at{kNever};  // it was not draining then
    Millis rejected_at{kNever};  // it turned something away then
    std::uint64_t accepted_function = 0;
    bool kept = false;
    Millis probe_sent_at{kNever};   // kNever: no probe is out
    Millis withheld_until{kNever};  // it is not well, or cannot be asked
    bool was_unhealthy = false;     // by its last word
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  ActionSink& actions_;
  const Millis duration_;
  event::ListLease list_{Millis(std::numeric_limits<double>::infinity())};
  std::vector<Record> records_;  // by WorkerIndex
  std::size_t probes_sent_ = 0, unhealthy_answers_ = 0;

  void record_accepted(WorkerIndex worker, Millis sent_at);
  ProbeVerdict withhold_unhealthy(WorkerIndex worker, Millis now);
  void withhold(WorkerIndex worker, Millis until, const char* reason);
};

}  // namespace pathstack::policy

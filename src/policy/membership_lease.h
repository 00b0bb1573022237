/// Decides which workers may be given new work while the membership log is unreachable.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "policy/common.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Lease on the list of workers, and a lease on each worker for the time when the list's lease has expired.
///
/// Rule 3 of the platform counts a drain as published by the platform's clocks, even if this invoker did not
/// receive the event: once the list's lease has expired, any worker may be draining without this invoker
/// knowing. A draining worker rejects new work and answers a probe as unhealthy. A worker that accepted work,
/// or answered a probe as healthy, was therefore not draining when that was sent, and may be given new work
/// for a part of the drain grace from then on. Any other worker is probed first, when work waits for it. If
/// the settings allow no probes, only workers that are kept (see LeaseRenewal) and accept work or load orders
/// often enough stay in use.
///
/// Owned by Engine; used through OutlierDetector::is_usable and by Scheduler. Every call is O(1) but
/// withheld_count. Introduced after an incident: docs/incidents/2026-12-02-membership-outage.md.
class MembershipLease {
 public:
  MembershipLease(const Settings& settings, const WorkerTable& workers, ActionSink& actions);

  /// Clears the state at the index: a new worker has it, or its worker was pruned.
  void reset(WorkerIndex worker);

  /// Sets the lease on the list: from `until` on, changes that were not received may count as published.
  /// `until` may be earlier than before. Until the first call the list is always current, as with the
  /// simulator, which reports every change.
  void set_list_lease(const event::ListLease& lease) { list_ = lease; }
  Millis list_current_until() const { return list_.until; }
  bool is_list_current(Millis now) const { return now <= list_.until + duration_; }
  /// How long a worker's lease lasts from lease_start.
  Millis duration() const { return duration_; }

  /// True if new work may be sent to the worker now.
  bool is_confirmed(WorkerIndex worker, Millis now) const;
  /// True if new work may be sent to the worker now, or once it has answered a probe.
  bool is_candidate(WorkerIndex worker, Millis now) const;
  /// Probes the worker to confirm it; no effect if a probe was sent less than kProbeInterval ago and is
  /// unanswered, or if the settings allow no probes.
  void send_probe(WorkerIndex worker, Millis now);

  /// True if the list is current, or the worker's lease has not expired (see lease_start and duration).
  /// Rejections since then do not matter: the drain grace is available from that time on.
  bool has_lease(WorkerIndex worker, Millis now) const;
  /// Start of the worker's lease: the earliest time at which the drain grace of a drain that this invoker did
  /// not receive may have begun.
  Millis lease_start(WorkerIndex worker) const;
  /// When the last work that the worker accepted was sent.
  Millis accepted_at(WorkerIndex worker) const { return records_[worker].accepted_at; }
  /// The function of the last accepted call or load order.
  std::uint64_t accepted_function(WorkerIndex worker) const { return records_[worker].accepted_function; }
  /// True if the worker has rejected work since it last accepted some: it is full or drains.
  bool has_rejected_work(WorkerIndex worker) const {
    return records_[worker].rejected_at >= records_[worker].accepted_at &&
           records_[worker].rejected_at > kNever;
  }

  /// Records that the worker accepted a call or load order sent at `sent_at`; `function` is loaded there now.
  void work_accepted(WorkerIndex worker, std::uint64_t function, Millis sent_at);
  /// Records that the worker rejected a call or load order: it is full or drains.
  void work_rejected(WorkerIndex worker, Millis now) { records_[worker].rejected_at = now; }
  /// Ends the worker's lease: the worker drains, or its process may have ended.
  void revoke(WorkerIndex worker) { records_[worker].accepted_at = kNever; }

  /// Marks a worker as kept. Without probes, new work goes to kept workers only while the list is not
  /// current.
  void set_kept(WorkerIndex worker, bool kept) { records_[worker].kept = kept; }
  bool is_kept(WorkerIndex worker) const { return records_[worker].kept; }

  /// What the end of a probe shows about the worker while the list is not current.
  enum class ProbeVerdict {
    none,       // not answered by the worker, or the list is current
    healthy,    // accepts new work
    unhealthy,  // drains, or reports a fault
    recovered   // healthy after unhealthy: a drain ends with the process, so this is a new process
  };
  /// Records the end of any probe, also of one that another part sent.
  ProbeVerdict probe_ended(WorkerIndex worker, const event::ProbeEnded& probe, Millis now);

  /// Number of workers that are ready according to the list but not candidates now. O(workers).
  std::size_t withheld_count(Millis now) const;
  /// Number of probes sent to confirm a worker.
  std::size_t probes_sent() const { return probes_sent_; }
  /// Number of unhealthy answers to probes while the list was not current.
  std::size_t unhealthy_answers() const { return unhealthy_answers_; }

 private:
  struct Record {
    Millis accepted_at{kNever};  // sending time of the last accepted work; not draining then
    Millis rejected_at{kNever};  // the last rejection
    std::uint64_t accepted_function = 0;
    bool kept = false;
    Millis probe_sent_at{kNever};   // of the unanswered probe; kNever: none
    Millis withheld_until{kNever};  // unhealthy, or a probe could not be delivered
    bool was_unhealthy = false;     // by the last answer to a probe
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

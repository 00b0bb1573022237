// How many requests wait at each worker, by load reports, and by gossip between invokers.
#pragma once

#include <vector>

#include "policy/average.h"
#include "policy/common.h"
#include "policy/slow_start.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Requests that a worker serves at once, about: more of them wait.
inline constexpr double kAssumedInService = 4;

/// Load of workers and of the other invokers.
///
/// Each invoker alone hears from a worker seldom. So two invokers a worker probe it, whoever has a report
/// notifies the others, and reports that came by a peer are not passed on. The invoker's own recent requests
/// go with them: one that is busier than the mean must not take itself for the mean one.
///
/// Owned by Policy. exchange is O(workers), the rest O(1) or O(fields of a report).
class LoadReports {
 public:
  LoadReports(const Settings& settings, const WorkerTable& workers, SlowStart& slow_start,
              ActionSink& actions);

  /// A new worker takes the place, or its worker was pruned.
  void reset(WorkerIndex worker);

  void record(WorkerIndex worker, const Report& report, Millis now);
  /// `waiting` as a peer has it.
  void record_gossip(WorkerIndex worker, double waiting, Millis now);
  void record_peer_requests(double requests);
  void request_arrived(Millis now);

  /// What was reported is no longer true.
  void invalidate(WorkerIndex worker) { records_[worker].reported_at = kNever; }
  /// Requests that wait at the worker beyond those in service; see reported_at.
  double waiting(WorkerIndex worker) const { return records_[worker].waiting; }
  Millis reported_at(WorkerIndex worker) const { return records_[worker].reported_at; }

  /// Own recent requests over those of the mean invoker; 1 as long as nothing was received from peers.
  double relative_demand(Millis now) const;

  /// Probes and gossip that are due.
  void exchange(Millis now);

 private:
  struct Record {
    double waiting = 0;
    Millis reported_at{kNever};
    Millis peer_reported_at{kNever};
    Millis probed_at{kNever};
    bool gossiped = true;  // nothing new to notify peers of
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  SlowStart& slow_start_;
  ActionSink& actions_;
  const bool reports_queue_;
  std::vector<Record> records_;  // by WorkerIndex
  Average peer_requests_;
  double own_requests_ = 0;  // of late, decaying since own_requests_at_
  Millis own_requests_at_{kNever};
  Millis gossiped_at_{kNever};

  double own_requests(Millis now) const;
  bool uses_probe_reports() const { return settings_.reports == ReportMode::probe && settings_.probes; }
  bool is_assigned_to_probe(const Worker& worker) const;
  void send_probes(Millis now);
  void send_gossip(Millis now);
};

}  // namespace pathstack::policy

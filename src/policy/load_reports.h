/// Number of requests waiting at each worker, from load reports and from gossip between invokers.
#pragma once

#include <vector>

#include "policy/average.h"
#include "policy/common.h"
#include "policy/slow_start.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Approximate number of requests that a worker serves at once; further ones wait.
inline constexpr double kAssumedInService = 4;

/// Load of workers and of the other invokers.
///
/// A single invoker seldom receives a report from a given worker. So two invokers are assigned to probe each
/// worker, and an invoker that has a report sends it to all peers; reports received from a peer are not sent
/// on. The messages also hold the number of the sender's recent requests, with which an invoker that is
/// busier than the mean one can tell that it is.
///
/// Owned by Engine. exchange is O(workers), the rest O(1) or O(fields of a report).
class LoadReports {
 public:
  LoadReports(const Settings& settings, const WorkerTable& workers, SlowStart& slow_start,
              ActionSink& actions);

  /// Clears the state at the index: a new worker has it, or its worker was pruned.
  void reset(WorkerIndex worker);

  void record(WorkerIndex worker, const Report& report, Millis now);
  /// Records the number of waiting requests that a peer reported.
  void record_gossip(WorkerIndex worker, double waiting, Millis now);
  void record_peer_requests(double requests);
  void request_arrived(Millis now);

  /// Drops the last report of the worker, which no longer holds.
  void invalidate(WorkerIndex worker) { records_[worker].reported_at = kNever; }
  /// Requests waiting at the worker, without those in service, as of reported_at.
  double waiting(WorkerIndex worker) const { return records_[worker].waiting; }
  Millis reported_at(WorkerIndex worker) const { return records_[worker].reported_at; }

  /// Own recent requests divided by those of the mean invoker; 1 until a peer has reported its requests.
  double relative_demand(Millis now) const;

  /// Sends the probes and gossip messages that are due.
  void exchange(Millis now);

 private:
  struct Record {
    double waiting = 0;
    Millis reported_at{kNever};
    Millis peer_reported_at{kNever};
    Millis probed_at{kNever};
    bool gossiped = true;  // nothing new to send to peers
  };

  const Settings& settings_;
  const WorkerTable& workers_;
  SlowStart& slow_start_;
  ActionSink& actions_;
  const bool reports_queue_;
  std::vector<Record> records_;  // by WorkerIndex
  Average peer_requests_;
  double own_requests_ = 0;  // decaying count as of own_requests_at_
  Millis own_requests_at_{kNever};
  Millis gossiped_at_{kNever};

  double own_requests(Millis now) const;
  bool uses_probe_reports() const { return settings_.reports == ReportMode::probe && settings_.probes; }
  bool is_assigned_to_probe(const Worker& worker) const;
  void send_probes(Millis now);
  void send_gossip(Millis now);
};

}  // namespace pathstack::policy

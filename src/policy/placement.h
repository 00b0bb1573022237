// Which workers a function should be loaded at.
#pragma once

#include "policy/common.h"
#include "policy/function_table.h"
#include "policy/load_reports.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Rendezvous hashing: all invokers agree on the few replicas of a function, by ids alone; each has an order
/// of its own among these, its own zone first. Behind the replicas come the other workers, in the order of
/// their hashes.
///
/// Owned by Policy, called by WorkerSelector. update is O(1) while neither the list nor the number of
/// replicas has changed, else O(workers x log workers).
class Placement {
 public:
  Placement(const Settings& settings, const WorkerTable& workers, const ServiceTimes& times,
            const LoadReports& reports)
      : settings_(settings), workers_(workers), times_(times), reports_(reports) {}

  /// Brings the candidates of the function up to date.
  void update(Function& function, Millis now) const;

 private:
  const Settings& settings_;
  const WorkerTable& workers_;
  const ServiceTimes& times_;
  const LoadReports& reports_;

  /// Requests of this invoker for the function that are in service at once.
  double demand(const Function& function, Millis now) const;
  int replica_count(const Function& function, Millis now) const;
};

}  // namespace pathstack::policy

/// Chooses the workers at which a function should be loaded.
#pragma once

#include "policy/common.h"
#include "policy/function_table.h"
#include "policy/load_reports.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// Rendezvous hashing over the ids of the function and the workers: all invokers choose the same few replicas
/// of a function without communicating. Each invoker orders these replicas differently, those in its own zone
/// first. The other workers follow the replicas, in the order of their hashes.
///
/// Owned by Engine, called by WorkerSelector. update is O(1) if neither the list of workers nor the number of
/// replicas has changed, otherwise O(workers x log workers).
class Placement {
 public:
  Placement(const Settings& settings, const WorkerTable& workers, const ServiceTimes& times,
            const LoadReports& reports)
      : settings_(settings), workers_(workers), times_(times), reports_(reports) {}

  /// Recomputes the candidates of the function if the list of workers or the number of replicas has changed.
  void update(Function& function, Millis now) const;

 private:
  const Settings& settings_;
  const WorkerTable& workers_;
  const ServiceTimes& times_;
  const LoadReports& reports_;

  /// Mean number of requests of this invoker for the function that run at the same time.
  double demand(const Function& function, Millis now) const;
  int replica_count(const Function& function, Millis now) const;
};

}  // namespace pathstack::policy

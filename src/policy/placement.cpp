#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "policy/hash.h"

namespace pathstack::policy {
namespace {

/// Shortest time over which arrivals are averaged: the arrivals of a function's first second are too few to
/// estimate a rate.
constexpr Millis kMinDemandWindow{1000};
/// Number of concurrent requests for one function that one worker should serve.
constexpr double kRequestsPerReplica = 2;
constexpr double kMaxReplicas = 1000;
/// Added to the sort keys of workers in other zones; keys are halved before, so that the sum does not
/// overflow.
constexpr std::uint64_t kOtherZoneOffset = std::numeric_limits<std::uint64_t>::max() / 2;

}  // namespace

double Placement::demand(const Function& function, Millis now) const {
  const Millis window = std::min(kDemandTimeConstant, std::max(kMinDemandWindow, now - function.first_seen));
  const double recent_arrivals = function.arrivals * decay(now, function.last_seen, kDemandTimeConstant);
  return std::max(0.0, recent_arrivals - 1) / window.count() * times_.unloaded_run(function.times);
}

int Placement::replica_count(const Function& function, Millis now) const {
  const double demand_per_replica = std::min(kRequestsPerReplica, function.slots / 2.0);
  const double fleet_demand = demand(function, now) * settings_.invokers / reports_.relative_demand(now);
  return 1 + static_cast<int>(std::min(kMaxReplicas, fleet_demand / demand_per_replica));
}

void Placement::update(Function& function, Millis now) const {
  Candidates& candidates = function.candidates;
  const int replicas = replica_count(function, now);
  const int list_version = workers_.list_version();
  if (candidates.list_version == list_version && candidates.replicas == replicas) return;
  std::vector<std::pair<std::uint64_t, WorkerIndex>> order;
  for (const Worker& worker : workers_.all()) {
    if (worker.state == WorkerState::ready) order.emplace_back(mix(function.id ^ worker.hash), worker.index);
  }
  std::sort(order.begin(), order.end());
  const auto shared = order.begin() + std::min<std::ptrdiff_t>(replicas, static_cast<int>(order.size()));
  for (auto i = order.begin(); i != shared; ++i) {
    const bool other_zone = workers_[i->second].zone != settings_.zone;
    const std::uint64_t own_order = mix(i->first + static_cast<std::uint64_t>(settings_.rank)) / 2;
    i->first = own_order + (other_zone ? kOtherZoneOffset : 0);
  }
  std::sort(order.begin(), shared);
  candidates.order.clear();
  candidates.order.reserve(order.size());  // no spare capacity: every function has such a list
  for (const auto& [hash, worker] : order) candidates.order.push_back(worker);
  candidates.replicas = replicas;
  candidates.list_version = list_version;
}

}  // namespace pathstack::policy

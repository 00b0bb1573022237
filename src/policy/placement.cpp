#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "policy/hash.h"

namespace pathstack::policy {
namespace {

constexpr Millis kLeastDemandSpan{
    1000};  // arrivals are averaged over at least this: a first second tells little
constexpr double kRequestsPerReplica = 2;  // of one function in service at once that one worker should serve
constexpr double kMostReplicas = 1000;
constexpr std::uint64_t kOtherZoneOffset = std::numeric_limits<std::uint64_t>::max() / 2;

}  // namespace

double Placement::demand(const Function& function, Millis now) const {
  const Millis span = std::min(kDemandTimeConstant, std::max(kLeastDemandSpan, now - function.first_seen));
  const double lately = function.arrivals * decay(now, function.last_seen, kDemandTimeConstant);
  return std::max(0.0, lately - 1) / span.count() * times_.unloaded_run(function.times);
}

int Placement::replicas_for(const Function& function, Millis now) const {
  const double each = std::min(kRequestsPerReplica, function.slots / 2.0);
  const double fleet_demand = demand(function, now) * settings_.invokers / reports_.relative_demand(now);
  return 1 + static_cast<int>(std::min(kMostReplicas, fleet_demand / each));
}

void Placement::update(Function& function, Millis now) const {
  Candidates& candidates = function.candidates;
  const int replicas = replicas_for(function, now);
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
  for (const auto& [hash, worker] : order) candidates.order.push_back(worker);
  candidates.replicas = replicas;
  candidates.list_version = list_version;
}

}  // namespace pathstack::policy

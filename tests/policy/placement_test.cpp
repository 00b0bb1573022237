#include "policy/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

Settings rank_of_many(int rank) {
  Settings settings = test::settings();
  settings.invokers = 100;
  settings.rank = rank;
  return settings;
}

std::vector<WorkerIndex> candidates(int rank, int arrivals, int& replicas, const char* zone_of_odd = "z1") {
  Parts parts(rank_of_many(rank));
  for (int i = 0; i < 20; ++i) {
    WorkerEntry worker = entry("w" + std::to_string(i));
    if (i % 2 == 1) worker.zone = zone_of_odd;
    parts.add_worker(worker);
  }
  Function& function = parts.add_function(42);
  parts.times.record_run(function.times, 0, 100);
  for (int i = 1; i < arrivals; ++i) parts.add_function(42);
  Placement(parts.settings, parts.workers, parts.times, parts.reports).update(function, parts.now);
  replicas = function.candidates.replicas;
  return function.candidates.order;
}

TEST_CASE("Placement: invokers choose the same replicas and each orders them differently", "[placement]") {
  std::set<std::set<WorkerIndex>> sets;
  std::set<WorkerIndex> firsts;
  for (int rank = 0; rank < 20; ++rank) {
    int replicas = 0;
    const auto order = candidates(rank, 2, replicas);
    REQUIRE(order.size() == 20U);
    UNSCOPED_INFO("ten concurrent requests in the whole fleet, one per replica, plus one replica");
    REQUIRE(replicas == 11);
    sets.insert(std::set<WorkerIndex>(order.begin(), order.begin() + replicas));
    firsts.insert(order.front());
  }
  CHECK(sets.size() == 1U);
  CHECK(firsts.size() > 3U);
}

TEST_CASE("Placement: a rarely requested function has one replica", "[placement]") {
  int replicas = 0;
  const auto first = candidates(0, 1, replicas).front();
  CHECK(replicas == 1);
  CHECK(candidates(7, 1, replicas).front() == first);
}

TEST_CASE("Placement: replicas in the invoker's own zone come first", "[placement]") {
  int replicas = 0;
  const auto order = candidates(0, 2, replicas, "z2");
  const auto is_other_zone = [](WorkerIndex worker) { return worker % 2 == 1; };
  CHECK(std::is_partitioned(order.begin(), order.begin() + replicas,
                            [&](WorkerIndex worker) { return !is_other_zone(worker); }));
}

TEST_CASE("Placement: draining workers are not candidates", "[placement]") {
  Parts parts;
  parts.add_worker(entry("a"));
  parts.add_worker(entry("b"));
  Function& function = parts.add_function(1);
  const Placement placement(parts.settings, parts.workers, parts.times, parts.reports);
  placement.update(function, parts.now);
  CHECK(function.candidates.order.size() == 2U);
  parts.workers.apply({ListKind::delta, {entry("a", WorkerState::draining)}}, parts.now);
  placement.update(function, parts.now);
  CHECK(function.candidates.order == std::vector<WorkerIndex>{1});
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

Settings rank_of_many(int rank) {
  Settings settings = test::settings();
  settings.routers = 100;
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

TEST(Placement, InvokersAgreeOnTheReplicasAndEachHasAnOrderOfItsOwn) {
  std::set<std::set<WorkerIndex>> sets;
  std::set<WorkerIndex> firsts;
  for (int rank = 0; rank < 20; ++rank) {
    int replicas = 0;
    const auto order = candidates(rank, 2, replicas);
    ASSERT_EQ(order.size(), 20U);
    ASSERT_EQ(replicas, 11)
        << "ten requests in service in the whole fleet, one for each replica, and one more";
    sets.insert(std::set<WorkerIndex>(order.begin(), order.begin() + replicas));
    firsts.insert(order.front());
  }
  EXPECT_EQ(sets.size(), 1U);
  EXPECT_GT(firsts.size(), 3U);
}

TEST(Placement, AFunctionSeldomRequestedHasOneReplica) {
  int replicas = 0;
  const auto first = candidates(0, 1, replicas).front();
  EXPECT_EQ(replicas, 1);
  EXPECT_EQ(candidates(7, 1, replicas).front(), first);
}

TEST(Placement, TheOwnZoneComesFirstAmongTheReplicas) {
  int replicas = 0;
  const auto order = candidates(0, 2, replicas, "z2");
  const auto is_other_zone = [](WorkerIndex worker) { return worker % 2 == 1; };
  EXPECT_TRUE(std::is_partitioned(order.begin(), order.begin() + replicas,
                                  [&](WorkerIndex worker) { return !is_other_zone(worker); }));
}

TEST(Placement, WorkersThatLeaveAreNoCandidates) {
  Parts parts;
  parts.add_worker(entry("a"));
  parts.add_worker(entry("b"));
  Function& function = parts.add_function(1);
  const Placement placement(parts.settings, parts.workers, parts.times, parts.reports);
  placement.update(function, parts.now);
  EXPECT_EQ(function.candidates.order.size(), 2U);
  parts.workers.apply({ListKind::delta, {entry("a", WorkerState::draining)}}, parts.now);
  placement.update(function, parts.now);
  EXPECT_EQ(function.candidates.order, std::vector<WorkerIndex>{1});
}

}  // namespace
}  // namespace pathstack::policy::test

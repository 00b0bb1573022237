#include "policy/worker_table.h"

#include <gtest/gtest.h>

#include "policy/gossip.h"
#include "policy/hash.h"
#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

using Kind = WorkerChange::Kind;

class WorkerTableTest : public ::testing::Test {
 protected:
  std::vector<Kind> apply(std::vector<WorkerEntry> entries, ListKind kind = ListKind::delta) {
    std::vector<Kind> kinds;
    for (const WorkerChange& change : table.apply({kind, std::move(entries)}, now))
      kinds.push_back(change.kind);
    return kinds;
  }

  Settings settings = test::settings();
  WorkerTable table{settings};
  Millis now{100000};
};

TEST_F(WorkerTableTest, AFullListLeavesOutWhoIsGone) {
  EXPECT_EQ(apply({entry("a"), entry("b")}, ListKind::full), (std::vector<Kind>{Kind::added, Kind::added}));
  EXPECT_EQ(apply({entry("b")}, ListKind::full), std::vector<Kind>{Kind::left});
  EXPECT_EQ(table.find("a")->state, WorkerState::gone);
  EXPECT_EQ(table.find("b")->state, WorkerState::ready);
}

TEST_F(WorkerTableTest, ADeltaLeavesTheOthersAlone) {
  apply({entry("a"), entry("b")}, ListKind::full);
  EXPECT_EQ(apply({entry("b", WorkerState::draining)}), std::vector<Kind>{Kind::left});
  EXPECT_EQ(table.find("a")->state, WorkerState::ready);
}

TEST_F(WorkerTableTest, AnyChangeOfAStampIsARestartThatCountsFromNow) {
  apply({entry("a", WorkerState::ready, 50000)}, ListKind::full);
  EXPECT_EQ(table.find("a")->started_at, Millis(50000));
  now = Millis(200000);
  for (const double stamp : {49000.0, 9e9}) {
    now += Millis(1000);
    EXPECT_EQ(apply({entry("a", WorkerState::ready, stamp)}), std::vector<Kind>{Kind::restarted});
    EXPECT_EQ(table.find("a")->started_at, now);
  }
  EXPECT_TRUE(apply({entry("a", WorkerState::ready, 0)}).empty());
  EXPECT_TRUE(apply({entry("a", WorkerState::ready, 9e9)}).empty());
}

TEST_F(WorkerTableTest, APlaceIsUsedAgainOnceItsWorkerIsLongGoneAndNothingIsInFlight) {
  apply({entry("a"), entry("b")}, ListKind::full);
  const WorkerIndex place = table.find("a")->index;
  table.attempt_started(place, true, now);
  apply({entry("b")}, ListKind::full);
  now += Millis(60001);
  EXPECT_TRUE(table.prune(now).empty());
  table.attempt_ended(place, true);
  EXPECT_EQ(table.prune(now), std::vector<WorkerIndex>{place});
  EXPECT_EQ(table.find("a"), nullptr);
  EXPECT_FALSE(table.find_by_tag(worker_tag(hash_of("a"))));
  apply({entry("c")});
  EXPECT_EQ(table.find("c")->index, place);
  EXPECT_EQ(table.all().size(), 2U);
}

TEST_F(WorkerTableTest, IsHeardFromWhenItsFirstAttemptIsSent) {
  apply({entry("a")});
  table.attempt_started(0, true, Millis(5));
  table.attempt_started(0, true, Millis(9));
  EXPECT_EQ(table[0].heard_at, Millis(5));
  EXPECT_EQ(table[0].in_flight, 2);
  EXPECT_EQ(table[0].unconfirmed_in_flight, 0);
}

}  // namespace
}  // namespace pathstack::policy::test

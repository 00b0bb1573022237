#include "policy/worker_table.h"

#include <catch2/catch.hpp>

#include "policy/gossip.h"
#include "policy/hash.h"
#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

using Kind = WorkerChange::Kind;

class WorkerTableTest {
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

TEST_CASE_METHOD(WorkerTableTest, "WorkerTable: a worker that a full list does not name is gone",
                 "[worker-table]") {
  CHECK(apply({entry("a"), entry("b")}, ListKind::full) == (std::vector<Kind>{Kind::added, Kind::added}));
  CHECK(apply({entry("b")}, ListKind::full) == std::vector<Kind>{Kind::left});
  CHECK(table.find("a")->state == WorkerState::gone);
  CHECK(table.find("b")->state == WorkerState::ready);
}

TEST_CASE_METHOD(WorkerTableTest, "WorkerTable: a delta does not change workers that it does not name",
                 "[worker-table]") {
  apply({entry("a"), entry("b")}, ListKind::full);
  CHECK(apply({entry("b", WorkerState::draining)}) == std::vector<Kind>{Kind::left});
  CHECK(table.find("a")->state == WorkerState::ready);
}

TEST_CASE_METHOD(WorkerTableTest, "WorkerTable: any change of a start stamp is a restart dated now",
                 "[worker-table]") {
  apply({entry("a", WorkerState::ready, 50000)}, ListKind::full);
  CHECK(table.find("a")->started_at == Millis(50000));
  now = Millis(200000);
  for (const double stamp : {49000.0, 9e9}) {
    now += Millis(1000);
    CHECK(apply({entry("a", WorkerState::ready, stamp)}) == std::vector<Kind>{Kind::restarted});
    CHECK(table.find("a")->started_at == now);
  }
  CHECK(apply({entry("a", WorkerState::ready, 0)}).empty());
  CHECK(apply({entry("a", WorkerState::ready, 9e9)}).empty());
}

TEST_CASE_METHOD(
    WorkerTableTest,
    "WorkerTable: an index is reused after its worker is gone for the prune time with nothing in flight",
    "[worker-table]") {
  apply({entry("a"), entry("b")}, ListKind::full);
  const WorkerIndex index = table.find("a")->index;
  table.attempt_started(index, true, now);
  apply({entry("b")}, ListKind::full);
  now += Millis(60001);
  CHECK(table.prune(now).empty());
  table.attempt_ended(index, true);
  CHECK(table.prune(now) == std::vector<WorkerIndex>{index});
  CHECK(table.find("a") == nullptr);
  CHECK_FALSE(table.find_by_tag(worker_tag(hash_of("a"))));
  apply({entry("c")});
  CHECK(table.find("c")->index == index);
  CHECK(table.all().size() == 2U);
}

TEST_CASE_METHOD(WorkerTableTest, "WorkerTable: the first attempt in flight counts as activity",
                 "[worker-table]") {
  apply({entry("a")});
  table.attempt_started(0, true, Millis(5));
  table.attempt_started(0, true, Millis(9));
  CHECK(table[0].last_activity_at == Millis(5));
  CHECK(table[0].in_flight == 2);
  CHECK(table[0].unconfirmed_in_flight == 0);
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/scheduler.h"

#include <gtest/gtest.h>

#include "parts.h"
#include "policy/load_shedder.h"
#include "policy/worker_selector.h"

namespace pathstack::policy::test {
namespace {

class SchedulerTest : public ::testing::Test {
 protected:
  /// A function whose runs take 100 ms and whose loads 300 ms, with one slot at the worker.
  Function& loaded_function(std::uint64_t id) {
    Function& function = parts.add_function(id, 0, 1);
    for (int i = 0; i < 10; ++i) parts.times.record_run(function.times, 0, 100);
    parts.times.record_load(function.times, 300);
    Instance& instance = function.instance_at(worker);
    instance.loaded = 1;
    instance.confirmed = true;
    instance.used_at = parts.now;
    return function;
  }
  void request(Function& function, int count = 1) {
    for (int i = 0; i < count; ++i) parts.add_request("r" + std::to_string(++requests), function);
  }
  std::size_t sends() const { return parts.emitted_of<action::Send>().size(); }
  std::size_t loads() const { return parts.emitted_of<action::Load>().size(); }

  Parts parts;
  Placement placement{parts.settings, parts.workers, parts.times, parts.reports};
  LoadOrderBudget order_budget{parts.settings};
  WorkerSelector selector{parts.settings, parts.functions, parts.times,   parts.outliers, parts.slow_start,
                          parts.limits,   parts.admission, parts.retries, placement};
  Scheduler scheduler{parts.settings, parts.workers,    parts.functions, parts.requests,
                      parts.times,    parts.slow_start, parts.admission, parts.retries,
                      selector,       order_budget,     parts.actions};
  LoadShedder shedder{parts.functions, parts.requests,  parts.times,  parts.outliers,
                      parts.limits,    parts.admission, parts.retries};
  WorkerIndex worker = parts.add_worker(entry("a"));
  int requests = 0;
};

TEST_F(SchedulerTest, ARequestTakesAFreeSlotOfAWarmInstance) {
  Function& function = loaded_function(1);
  request(function);
  scheduler.consider(function, parts.now);
  EXPECT_EQ(sends(), 1U);
  EXPECT_EQ(function.find_instance(worker)->in_flight, 1);
  EXPECT_EQ(parts.workers[worker].in_flight, 1);
  EXPECT_TRUE(function.queue.empty());
}

// E = N + 1 - L K / R with K = 1, L / R = 3: three may wait, the fourth starts a load.
TEST_F(SchedulerTest, ALoadBeginsOnlyIfTheExpectedQueueAfterItIsAboveZero) {
  parts.add_worker(entry("b"));
  Function& function = loaded_function(1);
  request(function, 4);
  scheduler.consider(function, parts.now);
  EXPECT_EQ(sends(), 1U);
  EXPECT_EQ(loads(), 0U);
  request(function);
  scheduler.consider(function, parts.now);
  EXPECT_EQ(sends(), 1U);
  EXPECT_EQ(loads(), 1U);
  EXPECT_EQ(parts.functions.loads_in_flight(), 1);
}

TEST_F(SchedulerTest, WithNothingLoadedTheFirstRequestLoads) {
  Function& function = parts.add_function(1);
  request(function);
  scheduler.consider(function, parts.now);
  EXPECT_EQ(loads(), 1U);
  request(function);
  scheduler.consider(function, parts.now);
  EXPECT_EQ(loads(), 1U) << "one is under way";
}

TEST_F(SchedulerTest, AWorkerIsHandedToTheQueuedFunctionOfTheLowestWeight) {
  Function& slow = loaded_function(1);
  for (int i = 0; i < 100; ++i) parts.times.record_run(slow.times, 0, 1000);
  Function& quick = parts.add_function(2);
  quick.times.load_hint = 10;
  for (int i = 0; i < 10; ++i) parts.times.record_run(quick.times, 0, 5);
  request(quick, 3);
  scheduler.attempt_ended(slow, worker, parts.now);
  const auto orders = parts.emitted_of<action::Load>();
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].function, 2U);
  EXPECT_EQ(orders[0].worker, "a");
}

TEST_F(SchedulerTest, NoMoreLoadsThanTheOrderBudgetAllowsSoTheRequestItselfLoads) {
  parts.settings.load_window = Millis(5000);
  Function& function = parts.add_function(1);
  request(function);
  scheduler.consider(function, parts.now);
  EXPECT_EQ(loads(), 0U);
  EXPECT_EQ(sends(), 1U);
}

TEST_F(SchedulerTest, ARequestPastItsObjectiveIsShedUnlessALoadIsUnderWay) {
  Function& function = parts.add_function(1);
  request(function);
  function.instance_at(worker).loading = 1;
  parts.now += Millis(1001);
  shedder.shed(function, parts.now);
  EXPECT_EQ(function.queue.size(), 1U);
  function.instance_at(worker).loading = 0;
  shedder.shed(function, parts.now);
  EXPECT_TRUE(function.queue.empty());
  EXPECT_EQ(parts.emitted_of<action::Refuse>().size(), 1U);
  EXPECT_EQ(shedder.count(ShedReason::no_instance), 1);
}

TEST_F(SchedulerTest, AShedRequestIsCountedByWhatKeptItBack) {
  Function& function = loaded_function(1);
  const auto shed_one = [&](ShedReason reason) {
    request(function);
    const Millis later = parts.now + Millis(1001);
    function.find_instance(worker)->used_at = later;
    const double before = shedder.count(reason);
    shedder.shed(function, later);
    return shedder.count(reason) - before;
  };
  EXPECT_EQ(shed_one(ShedReason::slowed_down), 1);
  function.find_instance(worker)->in_flight = 1;
  EXPECT_EQ(shed_one(ShedReason::slots_in_use), 1);
  parts.outliers.eject(worker, parts.now + Millis(1000));
  EXPECT_EQ(shed_one(ShedReason::worker_unhealthy), 1);
}

}  // namespace
}  // namespace pathstack::policy::test

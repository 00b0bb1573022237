#include "policy/scheduler.h"

#include <catch2/catch.hpp>

#include "parts.h"
#include "policy/load_shedder.h"
#include "policy/worker_selector.h"

namespace pathstack::policy::test {
namespace {

class SchedulerTest {
 protected:
  /// A function with runs of 100 ms and loads of 300 ms that has one slot at the worker.
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
  std::size_t sends() const { return parts.emitted_actions<action::Send>().size(); }
  std::size_t loads() const { return parts.emitted_actions<action::Load>().size(); }

  Parts parts;
  Placement placement{parts.settings, parts.workers, parts.times, parts.reports};
  LoadOrderBudget order_budget{parts.settings};
  WorkerSelector selector{parts.settings, parts.functions, parts.times,   parts.outliers, parts.slow_start,
                          parts.limits,   parts.admission, parts.retries, placement};
  Scheduler scheduler{parts.settings, parts.workers, parts.lease,      parts.renewal,   parts.functions,
                      parts.requests, parts.times,   parts.slow_start, parts.admission, parts.retries,
                      selector,       order_budget,  parts.actions};
  LoadShedder shedder{parts.functions, parts.requests,  parts.times,  parts.outliers,
                      parts.limits,    parts.admission, parts.retries};
  WorkerIndex worker = parts.add_worker(entry("a"));
  int requests = 0;
};

TEST_CASE_METHOD(SchedulerTest, "Scheduler: a request takes a free slot of a warm instance", "[scheduler]") {
  Function& function = loaded_function(1);
  request(function);
  scheduler.schedule(function, parts.now);
  CHECK(sends() == 1U);
  CHECK(function.find_instance(worker)->in_flight == 1);
  CHECK(parts.workers[worker].in_flight == 1);
  CHECK(function.queue.empty());
}

// E = N + 1 - L K / R with K = 1 and L / R = 3: three requests may wait, and the fourth one starts a load.
TEST_CASE_METHOD(SchedulerTest, "Scheduler: a load starts only if the expected queue after it is above zero",
                 "[scheduler]") {
  parts.add_worker(entry("b"));
  Function& function = loaded_function(1);
  request(function, 4);
  scheduler.schedule(function, parts.now);
  CHECK(sends() == 1U);
  CHECK(loads() == 0U);
  request(function);
  scheduler.schedule(function, parts.now);
  CHECK(sends() == 1U);
  CHECK(loads() == 1U);
  CHECK(parts.functions.loads_in_flight() == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler: the first request starts a load if no instance is loaded",
                 "[scheduler]") {
  Function& function = parts.add_function(1);
  request(function);
  scheduler.schedule(function, parts.now);
  CHECK(loads() == 1U);
  request(function);
  scheduler.schedule(function, parts.now);
  UNSCOPED_INFO("one load is in progress");
  CHECK(loads() == 1U);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler: a worker is assigned to the queued function of the lowest weight",
                 "[scheduler]") {
  Function& slow = loaded_function(1);
  for (int i = 0; i < 100; ++i) parts.times.record_run(slow.times, 0, 1000);
  Function& quick = parts.add_function(2);
  quick.times.load_hint = 10;
  for (int i = 0; i < 10; ++i) parts.times.record_run(quick.times, 0, 5);
  request(quick, 3);
  scheduler.attempt_ended(slow, worker, parts.now);
  const auto orders = parts.emitted_actions<action::Load>();
  REQUIRE(orders.size() == 1U);
  CHECK(orders[0].function == 2U);
  CHECK(orders[0].worker == "a");
}

TEST_CASE_METHOD(SchedulerTest,
                 "Scheduler: a request is sent to load its function if the order budget is exhausted",
                 "[scheduler]") {
  parts.settings.load_window = Millis(5000);
  Function& function = parts.add_function(1);
  request(function);
  scheduler.schedule(function, parts.now);
  CHECK(loads() == 0U);
  CHECK(sends() == 1U);
}

TEST_CASE_METHOD(SchedulerTest,
                 "Scheduler: a request past its objective is shed unless a load is in progress",
                 "[scheduler]") {
  Function& function = parts.add_function(1);
  request(function);
  function.instance_at(worker).loading = 1;
  parts.now += Millis(1001);
  shedder.shed(function, parts.now);
  CHECK(function.queue.size() == 1U);
  function.instance_at(worker).loading = 0;
  shedder.shed(function, parts.now);
  CHECK(function.queue.empty());
  CHECK(parts.emitted_actions<action::Refuse>().size() == 1U);
  CHECK(shedder.count(ShedReason::no_instance) == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler: a shed request is counted by the reason that held it back",
                 "[scheduler]") {
  Function& function = loaded_function(1);
  const auto shed_one = [&](ShedReason reason) {
    request(function);
    const Millis later = parts.now + Millis(1001);
    function.find_instance(worker)->used_at = later;
    const double before = shedder.count(reason);
    shedder.shed(function, later);
    return shedder.count(reason) - before;
  };
  CHECK(shed_one(ShedReason::slowed_down) == 1);
  function.find_instance(worker)->in_flight = 1;
  CHECK(shed_one(ShedReason::slots_in_use) == 1);
  parts.outliers.eject(worker, parts.now + Millis(1000));
  CHECK(shed_one(ShedReason::worker_unhealthy) == 1);
}

}  // namespace
}  // namespace pathstack::policy::test

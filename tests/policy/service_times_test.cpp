#include "policy/service_times.h"

#include <catch2/catch.hpp>

#include "policy/average.h"
#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

TEST_CASE("Average: starts as the arithmetic mean, then becomes an EWMA with the given gain", "[average]") {
  Average average;
  for (const double sample : {10.0, 20.0, 30.0}) average.add(sample, 0.1, 4);
  CHECK_THAT(average.value, Catch::Matchers::WithinULP(20.0, 4));
  for (int i = 0; i < 20; ++i) average.add(20, 0.1, 4);
  average.add(30, 0.1, 4);
  CHECK_THAT(average.value, Catch::Matchers::WithinULP(21.0, 4));
}

TEST_CASE("Average: limits an outlier to a multiple of the average", "[average]") {
  Average average;
  for (int i = 0; i < 100; ++i) average.add(10, 0.1, 4);
  average.add(1e9, 0.1, 4);
  CHECK_THAT(average.value, Catch::Matchers::WithinAbs(13.0, 1e-9));
}

class ServiceTimesTest {
 protected:
  const Settings settings = test::settings();
  ServiceTimes times{settings};
};

TEST_CASE_METHOD(ServiceTimesTest, "ServiceTimes: times are unknown without samples", "[service-times]") {
  FunctionTimes function;
  function.class_index = 0;
  CHECK(times.run(function) == 0);
  CHECK(times.load(function) == 0);
  UNSCOPED_INFO("a quarter of the latency objective");
  CHECK(times.work(0) == 250);
  UNSCOPED_INFO("the expected work is never 0");
  CHECK(times.work(-1) == 1);
}

TEST_CASE_METHOD(ServiceTimesTest, "ServiceTimes: a function without samples takes the times of its class",
                 "[service-times]") {
  FunctionTimes known;
  FunctionTimes unknown;
  known.class_index = unknown.class_index = 0;
  times.record_run(known, 0, 80);
  CHECK(times.run(unknown) == 80);
  CHECK(times.unloaded_run(unknown) == 80);
  CHECK(times.work(0) == 80);
  unknown.class_index = 1;
  CHECK(times.run(unknown) == 0);
}

TEST_CASE_METHOD(ServiceTimesTest, "ServiceTimes: the unloaded run time is a slowly rising minimum",
                 "[service-times]") {
  FunctionTimes function;
  for (int i = 0; i < 10; ++i) times.record_run(function, 0, 100);
  for (int i = 0; i < 10; ++i) times.record_run(function, 0, 300);
  CHECK(times.run(function) > 180);
  CHECK(times.unloaded_run(function) < 103);
}

TEST_CASE_METHOD(
    ServiceTimesTest,
    "ServiceTimes: a measured load time takes precedence over a stated one, and that over the average",
    "[service-times]") {
  FunctionTimes other;
  FunctionTimes function;
  times.record_load(other, 700);
  CHECK(times.load(function) == 700);
  function.load_hint = 500;
  CHECK(times.load(function) == 500);
  times.record_load(function, 900);
  CHECK(times.load(function) == 900);
}

TEST_CASE_METHOD(ServiceTimesTest, "ServiceTimes: the run timeout is never below the minimum stall time",
                 "[service-times]") {
  CHECK(times.run_timeout(1) == kMinStallTime);
  CHECK(times.run_timeout(100) == Millis(600));
}

}  // namespace
}  // namespace pathstack::policy::test

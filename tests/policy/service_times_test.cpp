#include "policy/service_times.h"

#include <gtest/gtest.h>

#include "policy/average.h"
#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

TEST(Average, IsThePlainMeanAtFirstAndThenFollowsByItsGain) {
  Average average;
  for (const double sample : {10.0, 20.0, 30.0}) average.add(sample, 0.1, 4);
  EXPECT_DOUBLE_EQ(average.value, 20);
  for (int i = 0; i < 20; ++i) average.add(20, 0.1, 4);
  average.add(30, 0.1, 4);
  EXPECT_DOUBLE_EQ(average.value, 21);
}

TEST(Average, CountsAnOutlierAtMostAsAMultipleOfItself) {
  Average average;
  for (int i = 0; i < 100; ++i) average.add(10, 0.1, 4);
  average.add(1e9, 0.1, 4);
  EXPECT_NEAR(average.value, 13, 1e-9);
}

class ServiceTimesTest : public ::testing::Test {
 protected:
  const Settings settings = test::settings();
  ServiceTimes times{settings};
};

TEST_F(ServiceTimesTest, KnowNothingAtFirst) {
  FunctionTimes function;
  function.class_index = 0;
  EXPECT_EQ(times.run(function), 0);
  EXPECT_EQ(times.load(function), 0);
  EXPECT_EQ(times.work(0), 250) << "a quarter of the latency objective";
  EXPECT_EQ(times.work(-1), 1) << "never 0";
}

TEST_F(ServiceTimesTest, AnUnknownFunctionTakesThoseOfItsClass) {
  FunctionTimes known;
  FunctionTimes unknown;
  known.class_index = unknown.class_index = 0;
  times.record_run(known, 0, 80);
  EXPECT_EQ(times.run(unknown), 80);
  EXPECT_EQ(times.unloaded_run(unknown), 80);
  EXPECT_EQ(times.work(0), 80);
  unknown.class_index = 1;
  EXPECT_EQ(times.run(unknown), 0);
}

TEST_F(ServiceTimesTest, TheUnloadedRunIsASlowMovingLeast) {
  FunctionTimes function;
  for (int i = 0; i < 10; ++i) times.record_run(function, 0, 100);
  for (int i = 0; i < 10; ++i) times.record_run(function, 0, 300);
  EXPECT_GT(times.run(function), 180);
  EXPECT_LT(times.unloaded_run(function), 103);
}

TEST_F(ServiceTimesTest, ALoadIsMeasuredBeforeItIsHintedBeforeItIsGuessed) {
  FunctionTimes other;
  FunctionTimes function;
  times.record_load(other, 700);
  EXPECT_EQ(times.load(function), 700);
  function.load_hint = 500;
  EXPECT_EQ(times.load(function), 500);
  times.record_load(function, 900);
  EXPECT_EQ(times.load(function), 900);
}

TEST_F(ServiceTimesTest, AWorkerIsNotSilentBeforeALeastSpell) {
  EXPECT_EQ(times.run_timeout(1), kLeastSilence);
  EXPECT_EQ(times.run_timeout(100), Millis(600));
}

}  // namespace
}  // namespace pathstack::policy::test

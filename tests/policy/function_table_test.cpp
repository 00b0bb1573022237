#include "policy/function_table.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

TEST(FunctionTable, AnInstanceIsWarmUntilTheKeepAliveHasPassedUnused) {
  Parts parts;
  Instance& instance = parts.add_function(1).instance_at(0);
  EXPECT_FALSE(parts.functions.is_warm(instance, parts.now));
  instance.loaded = 1;
  instance.used_at = parts.now;
  EXPECT_TRUE(parts.functions.is_warm(instance, parts.now + parts.settings.keep_alive));
  EXPECT_FALSE(parts.functions.is_warm(instance, parts.now + parts.settings.keep_alive + Millis(1)));
  instance.in_flight = 1;
  EXPECT_TRUE(parts.functions.is_warm(instance, parts.now + 2 * parts.settings.keep_alive));
}

TEST(FunctionTable, AnOrderThatIsNotAnsweredEndsByItself) {
  Parts parts;
  Function& function = parts.add_function(1);
  parts.times.record_load(function.times, 500);
  parts.functions.begin_load(function.instance_at(0), parts.now);
  parts.functions.expire(parts.now + Millis(1500));
  EXPECT_EQ(parts.functions.loads_in_flight(), 1);
  parts.functions.expire(parts.now + Millis(1501));
  EXPECT_EQ(parts.functions.loads_in_flight(), 0);
  EXPECT_TRUE(function.instances.empty());
}

TEST(FunctionTable, InstancesAtAWorkerAreForgottenForAllFunctions) {
  Parts parts;
  for (const std::uint64_t id : {1, 2}) {
    Function& function = parts.add_function(id);
    function.instance_at(3).loaded = 2;
    function.instance_at(4).loaded = 2;
    parts.functions.begin_load(function.instance_at(3), parts.now);
  }
  parts.functions.forget_instances(3);
  EXPECT_EQ(parts.functions.loads_in_flight(), 0);
  for (const auto& function : parts.functions.all()) {
    EXPECT_EQ(function->find_instance(3)->loaded, 0);
    EXPECT_EQ(function->find_instance(4)->loaded, 2);
  }
}

TEST(FunctionTable, AFunctionIsDroppedSoonerIfNoWorkerHasServedIt) {
  Parts parts;
  parts.add_function(1);
  parts.times.record_run(parts.add_function(2).times, 0, 50);
  parts.functions.prune(parts.now + Millis(5001));
  EXPECT_EQ(parts.functions.find(1), nullptr);
  EXPECT_NE(parts.functions.find(2), nullptr);
  parts.functions.prune(parts.now + Millis(60001));
  EXPECT_EQ(parts.functions.find(2), nullptr);
}

TEST(FunctionTable, AQueuedFunctionStays) {
  Parts parts;
  parts.add_function(1).queue.push_back(9);
  parts.functions.prune(parts.now + Millis(1e9));
  EXPECT_NE(parts.functions.find(1), nullptr);
}

TEST(FunctionTable, AnyNameMayBeRequestedAndManyAreDroppedAtOnce) {
  Parts parts;
  for (std::uint64_t id = 1; id <= 5000; ++id) parts.add_function(id);
  parts.functions.prune(parts.now + Millis(100));
  EXPECT_LE(parts.functions.all().size(), 4096U);
}

}  // namespace
}  // namespace pathstack::policy::test

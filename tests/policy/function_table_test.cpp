#include "policy/function_table.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

TEST_CASE("FunctionTable: an instance stays warm until it is unused for the keep-alive time",
          "[function-table]") {
  Parts parts;
  Instance& instance = parts.add_function(1).instance_at(0);
  CHECK_FALSE(parts.functions.is_warm(instance, parts.now));
  instance.loaded = 1;
  instance.used_at = parts.now;
  CHECK(parts.functions.is_warm(instance, parts.now + parts.settings.keep_alive));
  CHECK_FALSE(parts.functions.is_warm(instance, parts.now + parts.settings.keep_alive + Millis(1)));
  instance.in_flight = 1;
  CHECK(parts.functions.is_warm(instance, parts.now + 2 * parts.settings.keep_alive));
}

TEST_CASE("FunctionTable: an unanswered load order times out", "[function-table]") {
  Parts parts;
  Function& function = parts.add_function(1);
  parts.times.record_load(function.times, 500);
  parts.functions.begin_load(function.instance_at(0), parts.now);
  parts.functions.expire(parts.now + Millis(1500));
  CHECK(parts.functions.loads_in_flight() == 1);
  parts.functions.expire(parts.now + Millis(1501));
  CHECK(parts.functions.loads_in_flight() == 0);
  CHECK(function.instances.empty());
}

TEST_CASE("FunctionTable: clearing a worker's instances covers all functions", "[function-table]") {
  Parts parts;
  for (const std::uint64_t id : {1, 2}) {
    Function& function = parts.add_function(id);
    function.instance_at(3).loaded = 2;
    function.instance_at(4).loaded = 2;
    parts.functions.begin_load(function.instance_at(3), parts.now);
  }
  parts.functions.clear_instances(3);
  CHECK(parts.functions.loads_in_flight() == 0);
  for (const auto& function : parts.functions.all()) {
    CHECK(function->find_instance(3)->loaded == 0);
    CHECK(function->find_instance(4)->loaded == 2);
  }
}

TEST_CASE("FunctionTable: a function that no worker has served is pruned sooner", "[function-table]") {
  Parts parts;
  parts.add_function(1);
  parts.times.record_run(parts.add_function(2).times, 0, 50);
  parts.functions.prune(parts.now + Millis(5001));
  CHECK(parts.functions.find(1) == nullptr);
  CHECK(parts.functions.find(2) != nullptr);
  parts.functions.prune(parts.now + Millis(60001));
  CHECK(parts.functions.find(2) == nullptr);
}

TEST_CASE("FunctionTable: a function with queued requests is not pruned", "[function-table]") {
  Parts parts;
  parts.add_function(1).queue.push_back(9);
  parts.functions.prune(parts.now + Millis(1e9));
  CHECK(parts.functions.find(1) != nullptr);
}

TEST_CASE("FunctionTable: a large number of functions is pruned at once", "[function-table]") {
  Parts parts;
  for (std::uint64_t id = 1; id <= 5000; ++id) parts.add_function(id);
  parts.functions.prune(parts.now + Millis(100));
  CHECK(parts.functions.all().size() <= 4096U);
}

// Guards against functions that nobody knows and that displaced those in use, or took memory without limit.
TEST_CASE("FunctionTable: beyond its memory, unserved functions go first and served ones last",
          "[function-table]") {
  Settings limited = settings();
  limited.max_function_bytes = 100 * 400;  // records without candidates
  Parts parts(limited);
  const std::size_t before = parts.functions.bytes();
  for (std::uint64_t id = 1; id <= 50; ++id) {
    Function& served = parts.add_function(id);
    parts.times.record_run(served.times, 0, 50);
    served.candidates.order.assign(1000, 0);
  }
  for (std::uint64_t id = 1001; id <= 1100; ++id) parts.add_function(id);
  CHECK(parts.functions.bytes() - before == 150U * 400);
  CHECK(parts.functions.bytes_to_add(1, 1000) == 0U);
  CHECK(parts.functions.bytes_to_add(1001, 1000) == 1000 * sizeof(WorkerIndex));
  CHECK(parts.functions.bytes_to_add(9999, 1000) == 400 + 1000 * sizeof(WorkerIndex));
  parts.functions.prune(parts.now + Millis(100));
  CHECK(parts.functions.all().size() == 50U);
  CHECK(parts.functions.find(1) != nullptr);
  CHECK(parts.functions.find(1)->candidates.order.empty());
  CHECK(parts.functions.find(1)->candidates.list_version == -1);
  CHECK(parts.functions.bytes() <= limited.max_function_bytes);
}

}  // namespace
}  // namespace pathstack::policy::test

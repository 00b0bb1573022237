// Log output of the counters, and their table in README.md.
#include "core/counters.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace pathstack::test {
namespace {

using core::Counter;

TEST_CASE("README.md contains the table of all counters") {
  std::ifstream file(PATHSTACK_README);
  const std::string readme{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  CHECK(readme.find(core::counter_table()) != std::string::npos);
}

TEST_CASE("a status line contains the growth since the previous one, and present values as they are") {
  core::Counters counters;
  CHECK(counters.status({{"now.held", 3}}).empty());
  counters.add(Counter::calls_taken, 2);
  CHECK(counters.status({{"now.held", 3}, {"shed.no_copy", 5}}) ==
        "status calls.taken=2 now.held=3 shed.no_copy=5");
  counters.add(Counter::calls_taken);
  counters.add(Counter::orders_sent);
  CHECK(counters.status({{"now.held", 3}, {"shed.no_copy", 5}}) ==
        "status calls.taken=1 orders.sent=1 now.held=3");
}

TEST_CASE("counters that are 0 have no line") {
  core::Counters counters;
  counters.add(Counter::resp_cancels, 7);
  counters.add(Counter::amqp_down);
  CHECK(counters.lines() == std::vector<std::string>{"amqp.down 1", "resp.cancels 7"});
  CHECK(counters.value(Counter::resp_cancels) == 7);
}

}  // namespace
}  // namespace pathstack::test

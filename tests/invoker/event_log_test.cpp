// Format and rate limit of event lines.
#include "core/event_log.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace pathstack::test {

TEST_CASE("events are lines of key=value fields; lines above the rate limit are dropped and counted") {
  core::Counters counters;
  std::vector<std::string> lines;
  core::Millis now(1500);
  core::EventLog log([&] { return now; }, [&](const std::string& line) { lines.push_back(line); }, counters);
  log.write("call.refused", {{"ref", "a1"}, {"attempts", "s-1:full"}});
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] == "event call.refused t=1.500 ref=a1 attempts=s-1:full");
  log.write("worker.withheld worker=s-1 reason=not_well");
  REQUIRE(lines.size() == 2);
  CHECK(lines[1] == "event worker.withheld t=1.500 worker=s-1 reason=not_well");

  for (int i = 0; i < 200; ++i) log.write("call.refused", {});
  CHECK(lines.size() == static_cast<std::size_t>(core::EventLog::kBurst));
  CHECK(counters.value(core::Counter::log_events_suppressed) == 102);

  now += core::Millis(1000);
  for (int i = 0; i < 200; ++i) log.write("call.refused", {});
  CHECK(lines.size() == static_cast<std::size_t>(core::EventLog::kBurst + core::EventLog::kLinesPerSecond));
}

}  // namespace pathstack::test

// Golden test of the decision module through its simulator adapter: the same events must produce the same
// actions, byte for byte.
//
// Two sources of events are replayed:
// - generated days (day_plan.cpp), with the expected digests and action counts in expected_days.txt;
// - recorded days (data/NAME.rounds.gz), with the expected replies in data/NAME.replies.gz.
//
// A change that is not meant to change decisions must leave both unchanged. A change of decisions must give
// the reason in its commit and record new expected values:
//   REPLAY_RECORD=DIR replay_tests     writes DIR/expected_days.txt and DIR/NAME.replies (for gzip -9n)
// To find where two builds differ, write a trace with each build and compare the files:
//   REPLAY_TRACE=DIR replay_tests      writes the rounds and replies of the generated days to DIR/NAME.trace
// Both variables only add output; the test compares with the expected values in any case.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "fleet_simulation.h"
#include "gzip_lines.h"

namespace pathstack::policy::replay {
namespace {

const std::string kSourceFolder = REPLAY_SOURCE_FOLDER;

std::string folder_from_environment(const char* name) {
  const char* folder = std::getenv(name);
  return folder == nullptr ? std::string() : std::string(folder);
}

/// The lines of expected_days.txt by the name of the day. Lines that begin with # are comments.
std::map<std::string, std::string> expected_days() {
  std::map<std::string, std::string> lines;
  std::ifstream file(kSourceFolder + "/expected_days.txt");
  for (std::string line; std::getline(file, line);) {
    if (!line.empty() && line.front() != '#') lines[line.substr(0, line.find(' '))] = line;
  }
  return lines;
}

Summary run_day(const DayPlan& plan, const std::string& trace_folder) {
  if (trace_folder.empty()) return FleetSimulation(plan).run();
  std::ofstream trace(trace_folder + "/" + plan.name + ".trace");
  return FleetSimulation(plan).run([&](const std::string& round, const std::string& reply) {
    trace << "> " << round << "\n< " << reply << '\n';
  });
}

void check_generated_day(const DayPlan& plan) {
  const std::string line = run_day(plan, folder_from_environment("REPLAY_TRACE")).line(plan.name);
  const std::string record_folder = folder_from_environment("REPLAY_RECORD");
  if (!record_folder.empty())
    std::ofstream(record_folder + "/expected_days.txt", std::ios::app) << line << '\n';
  CHECK(line == expected_days()[plan.name]);
}

// Uses sections instead of GENERATE because ctest runs each day in its own process, selected by section name.
TEST_CASE("the actions of a generated day match the expected ones", "[generated]") {
  for (const DayPlan& plan : day_plans()) {
    DYNAMIC_SECTION(plan.name) { check_generated_day(plan); }
  }
}

// ctest reads the names of the days from expected_days.txt, so a day that is missing there would not run.
TEST_CASE("expected_days.txt lists exactly the generated days", "[days]") {
  std::vector<std::string> generated;
  for (const DayPlan& plan : day_plans()) generated.push_back(plan.name);
  std::vector<std::string> expected;
  for (const auto& [name, line] : expected_days()) expected.push_back(name);
  CHECK_THAT(generated, Catch::Matchers::UnorderedEquals(expected));
}

void check_recorded_day(const std::string& name) {
  const std::string file = kSourceFolder + "/data/" + name;
  const std::vector<std::string> rounds = read_gzip_lines(file + ".rounds.gz");
  const std::vector<std::string> expected = read_gzip_lines(file + ".replies.gz");
  REQUIRE_FALSE(rounds.empty());
  REQUIRE(rounds.size() == expected.size());
  const std::string record_folder = folder_from_environment("REPLAY_RECORD");
  std::ofstream recorded;
  if (!record_folder.empty()) recorded.open(record_folder + "/" + name + ".replies");
  simulator_adapter::Adapter adapter;
  int different = 0;
  for (std::size_t i = 0; i < rounds.size(); ++i) {
    const std::string reply = adapter.handle_batch(rounds[i]);
    if (recorded.is_open()) recorded << reply << '\n';
    if (reply == expected[i]) continue;
    if (++different == 1) FAIL_CHECK("round " << i << ": " << reply << "\nexpected: " << expected[i]);
  }
  UNSCOPED_INFO("number of rounds that differ, of " << rounds.size());
  CHECK(different == 0);
}

TEST_CASE("the actions of a recorded day match the expected ones", "[recorded]") {
  for (const char* name : {"trouble", "overload", "big"}) {
    DYNAMIC_SECTION(name) { check_recorded_day(name); }
  }
}

}  // namespace
}  // namespace pathstack::policy::replay

// Golden test of the decision module behind its adapter: the same events must give the same actions, byte for
// byte.
//
// Two sources of events are replayed:
// - generated days (day_plan.cpp), whose digests and counts of actions stand in expected_days.txt;
// - recorded days (data/NAME.rounds.gz), whose replies stand in data/NAME.replies.gz.
//
// A change that is not meant to change decisions must leave both as they are. A change that does must say why
// in its commit, and records new values so:
//   REPLAY_RECORD=DIR replay_tests     writes DIR/expected_days.txt and DIR/NAME.replies (to be gzip'ed with
//   -9n)
// To see where two builds differ, let both write what they answer, and compare the files:
//   REPLAY_TRACE=DIR replay_tests      writes the rounds and replies of the generated days to DIR/NAME.trace
// Both variables only add output; the comparison is made as ever.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "fleet_simulation.h"
#include "gzip_lines.h"

namespace pathstack::policy::replay {
namespace {

const std::string source_folder = REPLAY_SOURCE_FOLDER;

std::string folder_of_variable(const char* name) {
  const char* folder = std::getenv(name);
  return folder == nullptr ? std::string() : std::string(folder);
}

/// The lines of expected_days.txt by the name of the day; lines that begin with # are comments.
std::map<std::string, std::string> expected_days() {
  std::map<std::string, std::string> lines;
  std::ifstream file(source_folder + "/expected_days.txt");
  for (std::string line; std::getline(file, line);) {
    if (!line.empty() && line.front() != '#') lines[line.substr(0, line.find(' '))] = line;
  }
  return lines;
}

Summary play(const DayPlan& plan, const std::string& trace_folder) {
  if (trace_folder.empty()) return FleetSimulation(plan).run();
  std::ofstream trace(trace_folder + "/" + plan.name + ".trace");
  return FleetSimulation(plan).run([&](const std::string& round, const std::string& reply) {
    trace << "> " << round << "\n< " << reply << '\n';
  });
}

class GeneratedDay : public testing::TestWithParam<DayPlan> {};

TEST_P(GeneratedDay, GivesTheSameActions) {
  const DayPlan& plan = GetParam();
  const std::string line = play(plan, folder_of_variable("REPLAY_TRACE")).line(plan.name);
  const std::string record_folder = folder_of_variable("REPLAY_RECORD");
  if (!record_folder.empty())
    std::ofstream(record_folder + "/expected_days.txt", std::ios::app) << line << '\n';
  EXPECT_EQ(line, expected_days()[plan.name]);
}

INSTANTIATE_TEST_SUITE_P(Replay, GeneratedDay, testing::ValuesIn(day_plans()), [](const auto& day) {
  std::string name = day.param.name;
  for (char& letter : name)
    if (letter == '-') letter = '_';
  return name;
});

class RecordedDay : public testing::TestWithParam<std::string> {};

TEST_P(RecordedDay, GivesTheSameActions) {
  const std::string file = source_folder + "/data/" + GetParam();
  const std::vector<std::string> rounds = read_gzip_lines(file + ".rounds.gz");
  const std::vector<std::string> expected = read_gzip_lines(file + ".replies.gz");
  ASSERT_FALSE(rounds.empty());
  ASSERT_EQ(rounds.size(), expected.size());
  const std::string record_folder = folder_of_variable("REPLAY_RECORD");
  std::ofstream recorded;
  if (!record_folder.empty()) recorded.open(record_folder + "/" + GetParam() + ".replies");
  simulator_adapter::Adapter adapter;
  int different = 0;
  for (std::size_t i = 0; i < rounds.size(); ++i) {
    const std::string reply = adapter.reply(rounds[i]);
    if (recorded.is_open()) recorded << reply << '\n';
    if (reply == expected[i]) continue;
    if (++different == 1) ADD_FAILURE() << "round " << i << ": " << reply << "\nexpected: " << expected[i];
  }
  EXPECT_EQ(different, 0) << "rounds differ, of " << rounds.size();
}

INSTANTIATE_TEST_SUITE_P(Replay, RecordedDay, testing::Values("trouble", "overload", "big"),
                         [](const auto& day) { return day.param; });

}  // namespace
}  // namespace pathstack::policy::replay

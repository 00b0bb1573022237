#include "policy/request_table.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class RequestTableTest : public ::testing::Test {
 protected:
  Parts parts;
  RequestTable& table = parts.requests;
  Function& function = parts.add_function(1);
  Request& request = parts.add_request("x", function);
};

TEST_F(RequestTableTest, IsFoundByIdAndBySerialUntilItIsFinished) {
  const std::uint64_t serial = request.serial;
  EXPECT_EQ(table.find("x"), &request);
  EXPECT_EQ(table.find(serial), &request);
  EXPECT_EQ(function.queue.size(), 1U);
  table.finish(request);
  EXPECT_EQ(table.find("x"), nullptr);
  EXPECT_EQ(table.find(serial), nullptr);
  EXPECT_TRUE(function.queue.empty());
}

TEST_F(RequestTableTest, OutlivesItsFinalAnswerWhileAnAttemptIsOut) {
  table.start_attempt(request, 0, parts.now);
  table.finish(request);
  ASSERT_EQ(table.find("x"), &request);
  EXPECT_TRUE(request.done);
  ASSERT_NE(table.end_attempt(request, 0, Outcome::cancelled), nullptr);
  table.finish(request);
  EXPECT_EQ(table.find("x"), nullptr);
}

TEST_F(RequestTableTest, AnAttemptHasOneOutcome) {
  table.start_attempt(request, 3, parts.now);
  EXPECT_TRUE(request.has_attempt_out());
  const Attempt* ended = table.end_attempt(request, 0, Outcome::reset);
  ASSERT_NE(ended, nullptr);
  EXPECT_EQ(ended->worker, 3U);
  EXPECT_EQ(ended->state, AttemptState::may_have_run);
  EXPECT_FALSE(request.has_attempt_out());
  EXPECT_EQ(table.end_attempt(request, 0, Outcome::ok), nullptr);
  EXPECT_EQ(table.end_attempt(request, 1, Outcome::ok), nullptr);
  EXPECT_EQ(table.end_attempt(request, -1, Outcome::ok), nullptr);
}

TEST_F(RequestTableTest, OutcomesSayWhetherAnAttemptCanHaveRun) {
  const std::vector<std::pair<Outcome, AttemptState>> states = {
      {Outcome::not_sent, AttemptState::not_sent},        {Outcome::full, AttemptState::never_ran},
      {Outcome::connect_failed, AttemptState::never_ran}, {Outcome::miss, AttemptState::never_ran},
      {Outcome::unreachable, AttemptState::may_have_run}, {Outcome::error, AttemptState::may_have_run}};
  for (const auto& [outcome, state] : states) {
    table.start_attempt(request, 0, parts.now);
    const int number = static_cast<int>(request.attempts.size()) - 1;
    EXPECT_EQ(table.end_attempt(request, number, outcome)->state, state);
  }
  EXPECT_EQ(request.attempts_sent(), 5) << "one did not leave this machine";
}

}  // namespace
}  // namespace pathstack::policy::test

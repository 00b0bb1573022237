#include "policy/retry_policy.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

constexpr int kRepeatable = 0;
constexpr int kKeyed = 1;
constexpr int kOnce = 2;

class RetryPolicyTest : public ::testing::Test {
 protected:
  Request& attempted(int class_index, Outcome outcome) {
    Function& function = parts.add_function(static_cast<std::uint64_t>(class_index) + 1, class_index);
    Request& request = parts.add_request("x" + std::to_string(class_index), function);
    parts.requests.dequeue(request);
    parts.requests.start_attempt(request, worker, parts.now);
    parts.requests.end_attempt(request, 0, outcome);
    return request;
  }

  Parts parts;
  WorkerIndex worker = parts.add_worker(entry("a"));
};

TEST_F(RetryPolicyTest, WhatMayHaveRunIsRepeatedAsItsSemanticsAllow) {
  EXPECT_TRUE(parts.retries.may_send(attempted(kRepeatable, Outcome::error), worker, parts.now));
  EXPECT_TRUE(parts.retries.may_send(attempted(kKeyed, Outcome::error), worker, parts.now));
  EXPECT_FALSE(parts.retries.may_send(attempted(kOnce, Outcome::error), worker, parts.now));
}

TEST_F(RetryPolicyTest, WhatNeverRanMayAlwaysGoAgain) {
  EXPECT_TRUE(parts.retries.may_send(attempted(kOnce, Outcome::full), worker, parts.now));
  EXPECT_TRUE(parts.retries.may_send(attempted(kKeyed, Outcome::not_sent), worker, parts.now));
}

TEST_F(RetryPolicyTest, AKeyHoldsForItsWindowAndScope) {
  Request& request = attempted(kKeyed, Outcome::error);
  const Millis window = parts.settings.classes[kKeyed].key_window;
  EXPECT_TRUE(parts.retries.may_repeat(request, nullptr, parts.now + window - parts.settings.tick));
  EXPECT_FALSE(parts.retries.may_repeat(request, nullptr, parts.now + window));
  parts.settings.classes[kKeyed].scope = KeyScope::zone;
  Worker elsewhere = parts.workers[worker];
  EXPECT_TRUE(parts.retries.may_repeat(request, &elsewhere, parts.now));
  elsewhere.zone = "z2";
  EXPECT_FALSE(parts.retries.may_repeat(request, &elsewhere, parts.now));
  EXPECT_FALSE(parts.retries.may_repeat(request, nullptr, parts.now)) << "a refused client may come anywhere";
}

TEST_F(RetryPolicyTest, AttemptsAreLimitedAndThoseNotSentCountForNothing) {
  parts.settings.max_attempts = 1;
  EXPECT_FALSE(parts.retries.may_send(attempted(kRepeatable, Outcome::error), worker, parts.now));
  EXPECT_TRUE(parts.retries.may_send(attempted(kKeyed, Outcome::not_sent), worker, parts.now));
}

TEST_F(RetryPolicyTest, ARetryIsQueuedAtTheFront) {
  Request& request = attempted(kRepeatable, Outcome::error);
  Request& other = parts.add_request("y", *request.function);
  parts.retries.retry_or_give_up(request, parts.now);
  EXPECT_EQ(request.function->queue, (std::deque<std::uint64_t>{request.serial, other.serial}));
}

TEST_F(RetryPolicyTest, GivingUpRefusesWhatMayRunAgainAndFailsTheRest) {
  parts.retries.give_up(attempted(kRepeatable, Outcome::error), parts.now);
  parts.retries.give_up(attempted(kOnce, Outcome::error), parts.now);
  EXPECT_EQ(parts.emitted_of<action::Refuse>().size(), 1U);
  EXPECT_EQ(parts.emitted_of<action::Fail>().size(), 1U);
  EXPECT_EQ(parts.retries.given_up_after_attempt(), 2);
  EXPECT_TRUE(parts.requests.all().empty());
}

TEST_F(RetryPolicyTest, AClientsRetryHasTheObjectiveOfItsFirstAttempt) {
  const auto left = [&](double time_left) {
    return (parts.retries.objective_at(kRepeatable, Millis(time_left), parts.now) - parts.now).count();
  };
  EXPECT_EQ(left(4000), 1000);
  EXPECT_EQ(left(4000), 1000);
  EXPECT_EQ(left(3500), 500) << "its first attempt was 500 ms ago";
  EXPECT_EQ(left(4000), 1000);
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/outcome_recorder.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class OutcomeRecorderTest : public ::testing::Test {
 protected:
  /// An attempt of a new request is out at the worker.
  Request& send() {
    Request& request = parts.add_request("r" + std::to_string(++requests), function);
    parts.requests.dequeue(request);
    Instance& instance = function.instance_at(worker);
    Attempt& attempt = parts.requests.start_attempt(request, worker, parts.now);
    attempt.confirmed = instance.confirmed;
    attempt.alone = instance.in_flight == 0;
    parts.workers.attempt_started(worker, attempt.confirmed, parts.now);
    ++instance.in_flight;
    return request;
  }
  void end(Request& request, Outcome outcome, double elapsed, Warmth warmth = Warmth::stood) {
    event::Answer answer;
    answer.outcome = outcome;
    answer.elapsed = Millis(elapsed);
    answer.warmth = warmth;
    const Attempt* attempt = parts.requests.end_attempt(request, 0, outcome);
    ASSERT_NE(attempt, nullptr);
    recorder.record_attempt(request, *attempt, answer, parts.now);
  }

  Parts parts;
  LoadOrderBudget order_budget{parts.settings};
  OutcomeRecorder recorder{parts.settings, parts.workers,  parts.functions,  parts.requests,
                           parts.times,    parts.outliers, parts.slow_start, parts.reports,
                           parts.limits,   order_budget,   parts.retries,    parts.actions};
  WorkerIndex worker = parts.add_worker(entry("a"));
  Function& function = parts.add_function(1);
  int requests = 0;
};

TEST_F(OutcomeRecorderTest, AnAnswerOfALoadedInstanceIsARun) {
  end(send(), Outcome::ok, 100);
  EXPECT_EQ(parts.times.run(function.times), 100);
  EXPECT_EQ(parts.times.load(function.times), 0);
  EXPECT_TRUE(function.find_instance(worker)->confirmed);
  EXPECT_EQ(function.find_instance(worker)->in_flight, 0);
  EXPECT_EQ(parts.workers[worker].in_flight, 0);
}

TEST_F(OutcomeRecorderTest, AnAnswerThatBeganALoadIsALoad) {
  end(send(), Outcome::ok, 100);
  end(send(), Outcome::ok, 700, Warmth::began);
  EXPECT_EQ(parts.times.run(function.times), 100);
  EXPECT_EQ(parts.times.load(function.times), 600);
}

TEST_F(OutcomeRecorderTest, WhereAnswersDoNotTellALongOneShowsALoad) {
  end(send(), Outcome::ok, 100);
  end(send(), Outcome::ok, 401, Warmth::untold);
  EXPECT_EQ(parts.times.run(function.times), 100);
  end(send(), Outcome::ok, 399, Warmth::untold);
  EXPECT_GT(parts.times.run(function.times), 100);
}

TEST_F(OutcomeRecorderTest, AMissTellsThatNothingIsLoadedThere) {
  end(send(), Outcome::ok, 100);
  end(send(), Outcome::miss, 1);
  EXPECT_EQ(function.find_instance(worker)->loaded, 0);
  EXPECT_TRUE(function.missed);
}

TEST_F(OutcomeRecorderTest, AnAttemptOutForTooLongCountsAsAFailureOnce) {
  end(send(), Outcome::ok, 100);
  Request& lost = send();
  parts.now += Millis(601);
  recorder.find_unanswered(parts.now);
  EXPECT_TRUE(lost.attempts[0].taken_as_lost);
  EXPECT_FALSE(parts.outliers.is_usable(worker, parts.now)) << "silent, so ejected";
  end(lost, Outcome::timeout, 4000);
  EXPECT_TRUE(parts.outliers.serves_class(worker, 0, parts.now)) << "one failure, not two";
}

TEST_F(OutcomeRecorderTest, AnUnansweredAttemptIsCancelledWhereItMayRunAgain) {
  parts.settings.cancel = true;
  end(send(), Outcome::ok, 100);
  const Request& lost = send();
  recorder.find_unanswered(parts.now + Millis(601));
  const auto cancels = parts.emitted_of<action::Cancel>();
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(cancels[0].id, lost.id);
}

TEST_F(OutcomeRecorderTest, AnOrderThatFailedIsNotGivenAgainAtOnce) {
  parts.functions.begin_load(function.instance_at(worker), parts.now);
  recorder.record_order(function, worker, {"a", 1, Outcome::error, Millis(5), 0}, parts.now);
  EXPECT_EQ(parts.functions.loads_in_flight(), 0);
  EXPECT_GT(function.no_order_before, parts.now);
  EXPECT_EQ(function.instance_at(worker).loaded, 0);
}

TEST_F(OutcomeRecorderTest, AnOrderThatWasAnsweredIsALoadAndConfirmsTheInstance) {
  parts.functions.begin_load(function.instance_at(worker), parts.now);
  recorder.record_order(function, worker, {"a", 1, Outcome::ok, Millis(450), 1}, parts.now);
  EXPECT_EQ(parts.times.load(function.times), 450);
  EXPECT_TRUE(parts.functions.is_warm(function.instance_at(worker), parts.now));
  EXPECT_TRUE(function.instance_at(worker).confirmed);
}

TEST_F(OutcomeRecorderTest, AnAttemptThatWasNotSentChangesNoBelief) {
  Request& request = send();
  function.find_instance(worker)->loaded = 1;  // assumed for this attempt alone
  end(request, Outcome::not_sent, 0);
  EXPECT_EQ(function.find_instance(worker)->loaded, 0);
  EXPECT_TRUE(parts.outliers.is_usable(worker, parts.now));
  EXPECT_TRUE(parts.limits.is_backing_off(worker, parts.now));
  EXPECT_EQ(parts.times.run(function.times), 0);
}

}  // namespace
}  // namespace pathstack::policy::test

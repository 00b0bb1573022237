#include "policy/admission.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class AdmissionTest : public ::testing::Test {
 protected:
  AdmissionTest() {
    for (int i = 0; i < 10; ++i) parts.times.record_run(function.times, 0, 100);
  }
  void slow_down(double slowdown) {
    for (int i = 0; i < 200; ++i) parts.limits.record_slowdown(worker, slowdown, parts.now);
  }

  Parts parts;
  WorkerIndex worker = parts.add_worker(entry("a"));
  Function& function = parts.add_function(1);
  Request& request = parts.add_request("x", function);
};

TEST_F(AdmissionTest, ARequestMustStillHaveTheTimeOfARun) {
  EXPECT_TRUE(parts.admission.can_meet_objective(request, request.objective_at - Millis(100)));
  EXPECT_FALSE(parts.admission.can_meet_objective(request, request.objective_at - Millis(99)));
  EXPECT_FALSE(parts.admission.is_worth_queueing(request, request.objective_at));
}

TEST_F(AdmissionTest, WhereLateAnswersKeepTheirWorthRequestsWait) {
  parts.settings.classes[0].late_worth = 0.5;
  EXPECT_TRUE(parts.admission.is_worth_queueing(request, request.objective_at));
}

TEST_F(AdmissionTest, ASlowdownByChanceKeepsNothingBack) {
  slow_down(1.9);
  EXPECT_TRUE(parts.admission.is_worth_sending(request, worker, request.objective_at));
}

TEST_F(AdmissionTest, TheLowerThePriorityWeightTheShorterTheWaitThatIsAccepted) {
  parts.settings.classes[0].worth = 1;
  parts.settings.classes[1].worth = 16;
  parts.settings.worth_by_work = true;
  Function& worthier_function = parts.add_function(2, 1);
  for (int i = 0; i < 10; ++i) parts.times.record_run(worthier_function.times, 1, 100);
  Request& worthier = parts.add_request("y", worthier_function);
  slow_down(6);  // a wait of 400 ms; a quarter of the objective is 250 ms
  EXPECT_FALSE(parts.admission.is_worth_sending(request, worker, parts.now));
  EXPECT_TRUE(parts.admission.is_worth_sending(worthier, worker, parts.now));
}

TEST_F(AdmissionTest, NextIsTheFirstThatIsStillInTime) {
  Request& late = request;
  Request& in_time = parts.add_request("y", function, 8000, 5000);
  EXPECT_EQ(parts.admission.next_in_queue(function, parts.now), &late);
  EXPECT_EQ(parts.admission.next_in_queue(function, late.objective_at), &in_time);
  in_time.not_before = Millis(1e9);
  EXPECT_EQ(parts.admission.next_in_queue(function, late.objective_at), &late);
  parts.requests.dequeue(late);
  parts.requests.dequeue(in_time);
  EXPECT_EQ(parts.admission.next_in_queue(function, parts.now), nullptr);
}

}  // namespace
}  // namespace pathstack::policy::test

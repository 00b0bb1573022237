#include "policy/concurrency_limit.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class ConcurrencyLimitTest : public ::testing::Test {
 protected:
  Parts parts;
  ConcurrencyLimit& limits = parts.limits;
  WorkerIndex worker = parts.add_worker(entry("a"));
};

TEST_F(ConcurrencyLimitTest, RisesWhileItIsUsedAndAnswersAreFast) {
  const double first = limits.limit(worker);
  limits.record_slowdown(worker, 1, parts.now);
  EXPECT_EQ(limits.limit(worker), first) << "not used";
  for (int i = 0; i < 5; ++i) parts.workers.attempt_started(worker, true, parts.now);
  limits.record_slowdown(worker, 1, parts.now);
  EXPECT_DOUBLE_EQ(limits.limit(worker), first + 1 / first);
}

TEST_F(ConcurrencyLimitTest, FallsOnceABackoffWhileTheCoresAreOversubscribed) {
  const double first = limits.limit(worker);
  for (int i = 0; i < 20; ++i) limits.record_slowdown(worker, 20, parts.now);
  EXPECT_DOUBLE_EQ(limits.limit(worker), first * 0.9);
  for (int i = 0; i < 100; ++i) limits.record_slowdown(worker, 20, parts.now += Millis(100));
  EXPECT_DOUBLE_EQ(limits.limit(worker), 1) << "one attempt may always go";
  EXPECT_TRUE(limits.has_room(worker, parts.now));
}

TEST_F(ConcurrencyLimitTest, OwnAnswersCountWhileTheyAreFreshAndTheFleetsAfterThat) {
  const WorkerIndex other = parts.add_worker(entry("b"));
  for (int i = 0; i < 50; ++i) limits.record_slowdown(worker, 5, parts.now);
  EXPECT_NEAR(limits.slowdown(worker, parts.now), 5, 0.1);
  const double fleet = limits.slowdown(other, parts.now);
  EXPECT_GT(fleet, 1.5);
  EXPECT_NEAR(limits.slowdown(worker, parts.now + Millis(60000)), 1, 0.01);
}

TEST_F(ConcurrencyLimitTest, AReportOfWaitingRequestsGoesBeforeAnswers) {
  parts.settings.report_fields = {ReportField::queue};
  parts.reports.record(worker, std::vector<double>{8}, parts.now);
  EXPECT_DOUBLE_EQ(limits.slowdown(worker, parts.now), 3);
  EXPECT_LT(limits.slowdown(worker, parts.now + Millis(2001)), 3);
}

TEST_F(ConcurrencyLimitTest, AFullWorkerIsLeftAloneForAWhile) {
  limits.record_full(worker, parts.now);
  EXPECT_FALSE(limits.has_room(worker, parts.now + Millis(25)));
  EXPECT_TRUE(limits.has_room(worker, parts.now + Millis(95)));
  EXPECT_GT(limits.slowdown(worker, parts.now), 1.4);
}

TEST_F(ConcurrencyLimitTest, AnotherZoneCostsMore) {
  WorkerEntry far = entry("far");
  far.zone = "z2";
  const WorkerIndex other = parts.add_worker(far);
  EXPECT_LT(limits.cost(worker, parts.now), limits.cost(other, parts.now));
  for (int i = 0; i < 3; ++i) parts.workers.attempt_started(worker, true, parts.now);
  EXPECT_GT(limits.cost(worker, parts.now), limits.cost(other, parts.now));
}

TEST_F(ConcurrencyLimitTest, ALocalFaultOnlyBacksOff) {
  limits.record_local_fault(worker, parts.now);
  EXPECT_TRUE(limits.is_backing_off(worker, parts.now));
  EXPECT_FALSE(limits.is_backing_off(worker, parts.now + kLocalFaultBackoff));
  EXPECT_TRUE(limits.has_room(worker, parts.now));
  EXPECT_EQ(limits.slowdown(worker, parts.now), 1);
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/concurrency_limit.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class ConcurrencyLimitTest {
 protected:
  Parts parts;
  ConcurrencyLimit& limits = parts.limits;
  WorkerIndex worker = parts.add_worker(entry("a"));
};

TEST_CASE_METHOD(ConcurrencyLimitTest, "ConcurrencyLimit: rises while it is in use and answers are fast",
                 "[concurrency-limit]") {
  const double first = limits.limit(worker);
  limits.record_slowdown(worker, 1, parts.now);
  UNSCOPED_INFO("limit not in use");
  CHECK(limits.limit(worker) == first);
  for (int i = 0; i < 5; ++i) parts.workers.attempt_started(worker, true, parts.now);
  limits.record_slowdown(worker, 1, parts.now);
  CHECK_THAT(limits.limit(worker), Catch::Matchers::WithinULP(first + 1 / first, 4));
}

TEST_CASE_METHOD(ConcurrencyLimitTest,
                 "ConcurrencyLimit: falls once per backoff while the cores are oversubscribed",
                 "[concurrency-limit]") {
  const double first = limits.limit(worker);
  for (int i = 0; i < 20; ++i) limits.record_slowdown(worker, 20, parts.now);
  CHECK_THAT(limits.limit(worker), Catch::Matchers::WithinULP(first * 0.9, 4));
  for (int i = 0; i < 100; ++i) limits.record_slowdown(worker, 20, parts.now += Millis(100));
  UNSCOPED_INFO("one attempt is always allowed");
  CHECK_THAT(limits.limit(worker), Catch::Matchers::WithinULP(1.0, 4));
  CHECK(limits.has_room(worker, parts.now));
}

TEST_CASE_METHOD(ConcurrencyLimitTest,
                 "ConcurrencyLimit: own answers count while they are recent, then those of all workers",
                 "[concurrency-limit]") {
  const WorkerIndex other = parts.add_worker(entry("b"));
  for (int i = 0; i < 50; ++i) limits.record_slowdown(worker, 5, parts.now);
  CHECK_THAT(limits.slowdown(worker, parts.now), Catch::Matchers::WithinAbs(5.0, 0.1));
  const double fleet = limits.slowdown(other, parts.now);
  CHECK(fleet > 1.5);
  CHECK_THAT(limits.slowdown(worker, parts.now + Millis(60000)), Catch::Matchers::WithinAbs(1.0, 0.01));
}

TEST_CASE_METHOD(ConcurrencyLimitTest,
                 "ConcurrencyLimit: a report of waiting requests takes precedence over answers",
                 "[concurrency-limit]") {
  parts.settings.report_fields = {ReportField::queue};
  parts.reports.record(worker, std::vector<double>{8}, parts.now);
  CHECK_THAT(limits.slowdown(worker, parts.now), Catch::Matchers::WithinULP(3.0, 4));
  CHECK(limits.slowdown(worker, parts.now + Millis(2001)) < 3);
}

TEST_CASE_METHOD(ConcurrencyLimitTest, "ConcurrencyLimit: a full worker gets no attempts for a short time",
                 "[concurrency-limit]") {
  limits.record_full(worker, parts.now);
  CHECK_FALSE(limits.has_room(worker, parts.now + Millis(25)));
  CHECK(limits.has_room(worker, parts.now + Millis(95)));
  CHECK(limits.slowdown(worker, parts.now) > 1.4);
}

TEST_CASE_METHOD(ConcurrencyLimitTest, "ConcurrencyLimit: another zone costs more", "[concurrency-limit]") {
  WorkerEntry far = entry("far");
  far.zone = "z2";
  const WorkerIndex other = parts.add_worker(far);
  CHECK(limits.cost(worker, parts.now) < limits.cost(other, parts.now));
  for (int i = 0; i < 3; ++i) parts.workers.attempt_started(worker, true, parts.now);
  CHECK(limits.cost(worker, parts.now) > limits.cost(other, parts.now));
}

TEST_CASE_METHOD(ConcurrencyLimitTest, "ConcurrencyLimit: a local fault causes a backoff and nothing else",
                 "[concurrency-limit]") {
  limits.record_local_fault(worker, parts.now);
  CHECK(limits.is_backing_off(worker, parts.now));
  CHECK_FALSE(limits.is_backing_off(worker, parts.now + kLocalFaultBackoff));
  CHECK(limits.has_room(worker, parts.now));
  CHECK(limits.slowdown(worker, parts.now) == 1);
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/slow_start.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

TEST(SlowStart, LastsFromTheStartForTheTimeOfTheSettings) {
  Parts parts;
  const WorkerIndex old = parts.add_worker(entry("old"));
  const WorkerIndex fresh = parts.add_worker(entry("new", WorkerState::ready, 990));
  EXPECT_FALSE(parts.slow_start.is_warming_up(old, parts.now));
  EXPECT_TRUE(parts.slow_start.is_warming_up(fresh, Millis(990) + parts.settings.cold_for - Millis(1)));
  EXPECT_FALSE(parts.slow_start.is_warming_up(fresh, Millis(990) + parts.settings.cold_for));
}

TEST(SlowStart, BeginsAnewWhenAWorkerThatWasDownAnswers) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.connection_failed(worker, true, parts.now);
  EXPECT_TRUE(parts.slow_start.is_warming_up(worker, parts.now));
  parts.now += Millis(60000);
  ASSERT_TRUE(parts.outliers.note_alive(worker, parts.now));
  parts.slow_start.returned(worker, parts.now);
  EXPECT_TRUE(parts.slow_start.is_warming_up(worker, parts.now + parts.settings.cold_for - Millis(1)));
  EXPECT_FALSE(parts.slow_start.is_warming_up(worker, parts.now + parts.settings.cold_for));
}

TEST(SlowStart, AWarmWorkerIsNotLimitedAndNotCharged) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  EXPECT_TRUE(parts.slow_start.has_budget(worker, 1e9, parts.now));
  EXPECT_EQ(parts.slow_start.charge(worker, 100, parts.now), 0);
}

TEST(SlowStart, ABudgetIsSpentAndFillsWithTime) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a", WorkerState::ready, 990));
  double sent = 0;
  for (int i = 0; i < 1000; ++i, parts.now += Millis(10)) {
    if (!parts.slow_start.has_budget(worker, 100, parts.now)) continue;
    sent += parts.slow_start.charge(worker, 100, parts.now);
  }
  // Ten seconds in which a core grows from 0.16 to 0.68 of itself, 2.5 times that, of which 0.6 are used.
  const double allowed = 2.5 * 0.42 * 10000;
  EXPECT_LE(sent, allowed);
  EXPECT_GE(sent, 0.5 * allowed);
}

TEST(SlowStart, WhatWasNotSentIsReturned) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a", WorkerState::ready, 990));
  while (!parts.slow_start.has_budget(worker, 100, parts.now)) parts.now += Millis(10);
  const double cost = parts.slow_start.charge(worker, 100, parts.now);
  EXPECT_EQ(cost, 100);
  EXPECT_FALSE(parts.slow_start.has_budget(worker, 100, parts.now));
  parts.slow_start.refund(worker, cost);
  EXPECT_TRUE(parts.slow_start.has_budget(worker, 100, parts.now));
}

TEST(SlowStart, ASpentBudgetAsksForTheCoreUseOfAWarmWorkerNowAndThen) {
  Settings settings = test::settings();
  settings.probes = true;
  settings.reports = ReportMode::probe;
  Parts parts(settings);
  const WorkerIndex warming = parts.add_worker(entry("new", WorkerState::ready, 990));
  parts.add_worker(entry("old"));
  for (int i = 0; i < 400; ++i, parts.now += Millis(10)) parts.slow_start.has_budget(warming, 1e6, parts.now);
  const auto probes = parts.emitted_of<action::Probe>();
  ASSERT_EQ(probes.size(), 1U);
  EXPECT_EQ(probes[0].worker, "old");
}

}  // namespace
}  // namespace pathstack::policy::test

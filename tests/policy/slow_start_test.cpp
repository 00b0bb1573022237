#include "policy/slow_start.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

TEST_CASE("SlowStart: lasts for the configured duration from the start of the worker", "[slow-start]") {
  Parts parts;
  const WorkerIndex old = parts.add_worker(entry("old"));
  const WorkerIndex fresh = parts.add_worker(entry("new", WorkerState::ready, 990));
  CHECK_FALSE(parts.slow_start.is_warming_up(old, parts.now));
  CHECK(parts.slow_start.is_warming_up(fresh, Millis(990) + parts.settings.slow_start_duration - Millis(1)));
  CHECK_FALSE(parts.slow_start.is_warming_up(fresh, Millis(990) + parts.settings.slow_start_duration));
}

TEST_CASE("SlowStart: starts over when a worker that was down answers", "[slow-start]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.connection_failed(worker, true, parts.now);
  CHECK(parts.slow_start.is_warming_up(worker, parts.now));
  parts.now += Millis(60000);
  REQUIRE(parts.outliers.note_alive(worker, parts.now));
  parts.slow_start.worker_recovered(worker, parts.now);
  CHECK(parts.slow_start.is_warming_up(worker, parts.now + parts.settings.slow_start_duration - Millis(1)));
  CHECK_FALSE(parts.slow_start.is_warming_up(worker, parts.now + parts.settings.slow_start_duration));
}

TEST_CASE("SlowStart: a warm worker is neither limited nor charged", "[slow-start]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  CHECK(parts.slow_start.has_budget(worker, 1e9, parts.now));
  CHECK(parts.slow_start.charge(worker, 100, parts.now) == 0);
}

TEST_CASE("SlowStart: a budget is used up and refills over time", "[slow-start]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a", WorkerState::ready, 990));
  double sent = 0;
  for (int i = 0; i < 1000; ++i, parts.now += Millis(10)) {
    if (!parts.slow_start.has_budget(worker, 100, parts.now)) continue;
    sent += parts.slow_start.charge(worker, 100, parts.now);
  }
  // Ten seconds, in which the capacity share rises from 0.16 to 0.68, with a mean of 0.42, times the allowed
  // overload of 2.5. Of this, the budget uses 0.6.
  const double allowed = 2.5 * 0.42 * 10000;
  CHECK(sent <= allowed);
  CHECK(sent >= 0.5 * allowed);
}

TEST_CASE("SlowStart: the cost of an attempt that was not sent is refunded", "[slow-start]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a", WorkerState::ready, 990));
  while (!parts.slow_start.has_budget(worker, 100, parts.now)) parts.now += Millis(10);
  const double cost = parts.slow_start.charge(worker, 100, parts.now);
  CHECK(cost == 100);
  CHECK_FALSE(parts.slow_start.has_budget(worker, 100, parts.now));
  parts.slow_start.refund(worker, cost);
  CHECK(parts.slow_start.has_budget(worker, 100, parts.now));
}

TEST_CASE("SlowStart: a used-up budget probes a warm worker for its CPU utilisation occasionally",
          "[slow-start]") {
  Settings settings = test::settings();
  settings.probes = true;
  settings.reports = ReportMode::probe;
  Parts parts(settings);
  const WorkerIndex warming = parts.add_worker(entry("new", WorkerState::ready, 990));
  parts.add_worker(entry("old"));
  for (int i = 0; i < 400; ++i, parts.now += Millis(10)) parts.slow_start.has_budget(warming, 1e6, parts.now);
  const auto probes = parts.emitted_actions<action::Probe>();
  REQUIRE(probes.size() == 1U);
  CHECK(probes[0].worker == "old");
}

}  // namespace
}  // namespace pathstack::policy::test

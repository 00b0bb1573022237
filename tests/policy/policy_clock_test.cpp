// Warm-up of workers when the wall clock behind their start stamps is stepped.
#include <catch2/catch.hpp>

#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

constexpr double kPhase = 4000;  // a quarter of the warm-up, in milliseconds
constexpr int kPhases = 12;

std::string worker_name(int number) { return "w" + std::to_string(number); }

/// Simulates twelve phases of 4 s with four workers. In phases 2, 5, 8 and 11 a worker restarts, in phases 3
/// and 9 a new one starts, and in phase 6 the full list is sent again. From phase `stepped_at` on, the clock
/// that stamps the starts is off by `step`. Returns the actions of the invoker as text.
std::string run_phases(int stepped_at, Millis step) {
  Settings s = settings();
  s.invokers = 2;
  Invoker r(s);
  std::vector<WorkerEntry> entries;
  for (int i = 0; i < 4; ++i) entries.push_back(entry(worker_name(i)));
  entries[3].started = r.now - Millis(1000);
  r.list(entries);
  std::size_t answered = 0;
  std::size_t ordered = 0;
  int calls = 0;
  for (int phase = 0; phase < kPhases; ++phase) {
    const Millis stamp = r.now - Millis(700) + (phase >= stepped_at ? step : Millis(0));
    if (phase % 3 == 2) {
      WorkerEntry& restarted = entries[static_cast<std::size_t>(phase / 3)];
      restarted.started = stamp;
      r.list({restarted}, ListKind::delta);
    }
    if (phase % 6 == 3) {
      entries.push_back(entry(worker_name(phase + 10), WorkerState::ready, stamp.count()));
      r.list({entries.back()}, ListKind::delta);
    }
    if (phase == 6) r.list(entries);
    for (double passed = 0; passed < kPhase; passed += 50) {
      ++calls;
      r.request("c" + std::to_string(calls), static_cast<std::uint64_t>(calls % 5));
      for (; ordered < r.loads.size(); ++ordered) {
        const action::Load order = r.loads[ordered];
        r.loaded(order.worker, order.function, order.instances);
      }
      r.advance(50);
      for (; answered < r.sends.size(); ++answered)
        r.answer(action::Send(r.sends[answered]), Outcome::ok, 80);
    }
  }
  CHECK_FALSE(r.final_answer_violated);
  std::string actions;
  for (const auto& send : r.sends) actions += send.id + '>' + send.worker + ' ';
  for (const auto& load : r.loads) actions += std::to_string(load.function) + '@' + load.worker + ' ';
  for (const auto& id : r.refused) actions += '-' + id;
  return actions;
}

TEST_CASE("SteppedClock: a step in any phase changes no action", "[stepped-clock]") {
  const std::string steady = run_phases(kPhases, Millis(0));
  REQUIRE(steady.size() > 1000U);
  for (const double step : {-3600e3, -5e3, 5e3, 3600e3}) {
    for (int phase = 0; phase < kPhases; ++phase) {
      UNSCOPED_INFO(step << " ms from phase " << phase << " on");
      CHECK(run_phases(phase, Millis(step)) == steady);
    }
  }
}

/// Makes ten calls per second, each answered at once, for `seconds`. Returns the number of attempts sent.
std::size_t sent_within(Invoker& r, int seconds, const std::string& stem) {
  const std::size_t before = r.sends.size();
  for (int i = 0; i < seconds * 10; ++i) {
    const std::size_t sent = r.sends.size();
    r.request(stem + std::to_string(i));
    if (r.sends.size() > sent) r.answer(action::Send(r.sends.back()), Outcome::ok);
    r.advance(100);
  }
  return r.sends.size() - before;
}

TEST_CASE("SteppedClock: a start stamp before the last one is a restart", "[stepped-clock]") {
  Settings s = settings();
  s.rejects_on_miss = true;
  Invoker r(s);
  r.list({entry("a", WorkerState::ready, -20000)});
  const std::size_t usual = sent_within(r, 3, "before");
  REQUIRE(usual >= 28U);
  r.list({entry("a", WorkerState::ready, -90000)}, ListKind::delta);
  CHECK(sent_within(r, 3, "after") <= usual * 2 / 3);
}

TEST_CASE("SteppedClock: a stamp in the first list that is ahead of the clock counts as now",
          "[stepped-clock]") {
  Settings s = settings();
  s.rejects_on_miss = true;
  Invoker r(s);
  r.list({entry("a", WorkerState::ready, 3600e3)});
  r.advance(s.slow_start_duration.count());
  CHECK(sent_within(r, 3, "x") >= 28U);
}

// Guards against a fault found in review: an invoker starts with all past events, as one list each. The lists
// after the first made every worker that had ever restarted appear to have restarted just now.
TEST_CASE("SteppedClock: starts in the events known when the invoker starts count by their stamps",
          "[stepped-clock]") {
  Settings s = settings();
  s.rejects_on_miss = true;
  Invoker r(s);
  r.now = Millis(100000);
  r.list({entry("a")}, ListKind::cached);
  r.list({entry("a", WorkerState::ready, 20000)}, ListKind::delta);
  CHECK(sent_within(r, 3, "x") >= 28U);
}

TEST_CASE("SteppedClock: an entry without a stamp or with an unchanged one is no restart",
          "[stepped-clock]") {
  Settings s = settings();
  s.rejects_on_miss = true;
  Invoker r(s);
  r.list({entry("a", WorkerState::ready, -20000)});
  REQUIRE(sent_within(r, 3, "before") >= 28U);
  for (const double stamp : {0.0, -20000.0}) {
    r.list({entry("a", WorkerState::ready, stamp)}, ListKind::delta);
    CHECK(sent_within(r, 3, "stamp" + std::to_string(stamp)) >= 28U);
  }
}

}  // namespace
}  // namespace pathstack::policy::test

// Outcomes that come from this machine or of the network, and not of the worker: not_sent and unreachable.
#include <catch2/catch.hpp>

#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

/// Workers load what they lack by themselves, so that every request is sent somewhere at once.
Settings self_loading() {
  Settings s = settings();
  s.rejects_on_miss = true;
  return s;
}

void warm_up(Invoker& r, const std::string& id = "first") {
  r.request(id);
  r.answer(action::Send(r.sends.back()), Outcome::ok);
}

TEST_CASE("NotSent: goes to another worker at once and counts as no attempt", "[not-sent]") {
  for (const char* cls : {"safe", "keyed", "unsafe"}) {
    Settings s = self_loading();
    s.max_attempts = 1;
    Invoker r(s);
    r.list({entry("a"), entry("b")});
    r.request("x", 1, cls);
    REQUIRE(r.sends.size() == 1U);
    r.answer(action::Send(r.sends[0]), Outcome::not_sent);
    UNSCOPED_INFO(cls);
    REQUIRE(r.sends.size() == 2U);
    CHECK(r.sends[1].id == "x");
    CHECK(r.sends[1].worker != r.sends[0].worker);
    r.answer(action::Send(r.sends[1]), Outcome::ok);
    CHECK((r.failed.empty() && r.refused.empty()));
  }
}

TEST_CASE("NotSent: goes to the only worker after a backoff", "[not-sent]") {
  Settings s = self_loading();
  s.max_attempts = 1;
  Invoker r(s);
  r.list({entry("a")});
  warm_up(r);
  r.request("x");
  r.answer(action::Send(r.sends.back()), Outcome::not_sent);
  CHECK(r.sends.size() == 2U);
  r.advance(100);
  REQUIRE(r.sends.size() == 3U);
  CHECK(r.sends[2].id == "x");
}

// A worker is judged by none of them: it is not ejected, probed, or taken for silent or slowed down.
TEST_CASE("NotSent: says nothing of the worker", "[not-sent]") {
  Settings s = self_loading();
  s.probes = true;
  s.peer_messages = true;
  s.invokers = 2;
  Invoker r(s);
  r.list({entry("a")});
  warm_up(r);
  const auto before = r.policy.statistics();
  for (int i = 0; i < 20; ++i) {
    r.request("x" + std::to_string(i), 1, "unsafe");
    r.answer(action::Send(r.sends.back()), Outcome::not_sent, 0);
    r.advance(100);
    REQUIRE(r.sends.back().id == "x" + std::to_string(i));
    r.answer(action::Send(r.sends.back()), Outcome::ok);
  }
  CHECK(r.probes.empty());
  const auto after = r.policy.statistics();
  for (const char* name : {"now.unusable", "now.sum_limit", "now.run_ms", "now.load_ms"}) {
    UNSCOPED_INFO(name);
    CHECK(after.at(name) == before.at(name));
  }
  CHECK((r.failed.empty() && r.refused.empty()));
}

// A worker that answers nothing is as silent as before, though calls to it fail to leave meanwhile.
TEST_CASE("NotSent: is no sign of life", "[not-sent]") {
  Invoker r(self_loading());
  r.list({entry("a")});
  warm_up(r);
  r.request("out");
  r.request("x");
  std::size_t seen = 2;
  for (; r.now < Millis(1640); r.advance(20)) {  // 600 ms, six runs, count as silence
    for (; seen < r.sends.size(); ++seen) r.answer(action::Send(r.sends[seen]), Outcome::not_sent);
  }
  CHECK(seen >= 10U);
  CHECK(r.policy.statistics().at("now.unusable") == 1);
}

TEST_CASE("NotSent: returns what it took of the budget of a warming worker", "[not-sent]") {
  const auto served = [](int faults) {
    Invoker r(self_loading());
    r.list({entry("a", WorkerState::ready, 990)});
    int ok = 0;
    for (std::size_t i = 0, seen = 0; i < 100; ++i) {
      r.request("x" + std::to_string(i), 1, "unsafe", 900);
      r.advance(50);
      for (; seen < r.sends.size(); ++seen) {
        const bool fault = faults-- > 0;
        ok += !fault;
        r.answer(action::Send(r.sends[seen]), fault ? Outcome::not_sent : Outcome::ok);
      }
      r.advance(50);
    }
    return ok;
  };
  CHECK(served(10) >= served(0) - 5);  // ten backoffs take the time of a few calls, not their budget
}

TEST_CASE("NotSent: a lasting fault does not spin", "[not-sent]") {
  constexpr int kRequests = 10;
  for (const bool shared : {false, true}) {
    Settings s = self_loading();
    if (shared) s.invokers = 100;
    Invoker r(s);
    std::vector<WorkerEntry> workers;
    for (int i = 0; i < 40; ++i) workers.push_back(entry("w" + std::to_string(i)));
    r.list(workers);
    for (int i = 0; i < kRequests; ++i) r.request("x" + std::to_string(i), static_cast<std::uint64_t>(i));
    for (std::size_t answered = 0; r.now < Millis(3000); r.advance(5)) {
      // Faults that come in the same moment as what they answer must end by themselves.
      for (; answered < r.sends.size() && answered < 100000; ++answered) {
        r.answer(action::Send(r.sends[answered]), Outcome::not_sent, 0);
      }
    }
    // Each request lives for its latency objective of 1000 ms and is sent three times in each 40 ms at most.
    CHECK(r.sends.size() <= kRequests * 3U * 26U);
    CHECK(r.sends.size() >= kRequests * 10U);
    CHECK(r.refused.size() == static_cast<std::size_t>(kRequests));
    CHECK_FALSE(r.final_answer_violated);
  }
}

TEST_CASE("NotSent: an order is given again after a backoff and takes nothing from the load budget",
          "[not-sent]") {
  Settings s = settings();
  s.load_window = Millis(5000);
  s.load_floor = 1;
  Invoker r(s);
  r.list({entry("a")});
  r.request("x");
  REQUIRE(r.loads.size() == 1U);
  for (std::size_t i = 1; i <= 3; ++i) {
    r.loaded("a", 1, 0, Outcome::not_sent);
    UNSCOPED_INFO("none at once");
    REQUIRE(r.loads.size() == i);
    r.advance(80);
    REQUIRE(r.loads.size() == i + 1);
  }
  r.loaded("a", 1, 1);
  CHECK(r.sends.size() == 1U);
}

TEST_CASE("NotSent: an order leaves its instance known as warm", "[not-sent]") {
  Invoker r;
  r.list({entry("a")});
  r.request("x", 1, "safe", 4000, 1);
  r.loaded("a", 1, 1);
  REQUIRE(r.sends.size() == 1U);
  r.answer(action::Send(r.sends[0]), Outcome::ok);
  r.loaded("a", 1, 0, Outcome::not_sent);
  r.advance(100);
  r.request("y", 1, "safe", 4000, 1);
  UNSCOPED_INFO("the instance still stands");
  CHECK(r.sends.size() == 2U);
}

TEST_CASE("NotSent: a suspect worker stays suspect until its probe has left", "[not-sent]") {
  for (const Outcome then : {Outcome::ok, Outcome::reset}) {
    Settings s = self_loading();
    s.probes = true;
    Invoker r(s);
    r.list({entry("a")});
    warm_up(r);
    r.request("x");
    r.answer(action::Send(r.sends.back()), Outcome::reset);
    REQUIRE(r.probes.size() == 1U);
    for (int i = 0; i < 10; ++i) {
      const std::size_t asked = r.probes.size();
      r.handle(event::ProbeEnded{"a", Outcome::not_sent, Millis(0), std::nullopt});
      UNSCOPED_INFO("none at once");
      CHECK(r.probes.size() == asked);
      r.advance(80);
      REQUIRE(r.probes.size() == asked + 1);
      UNSCOPED_INFO("nothing goes to a suspect worker");
      CHECK(r.sends.size() == 2U);
    }
    // Three probes that have left are needed to mark it down, one that is answered to clear it.
    r.handle(event::ProbeEnded{"a", then, Millis(1), std::nullopt});
    r.advance(40);
    const bool clear = then == Outcome::ok;
    CHECK(r.sends.size() == (clear ? 3U : 2U));
    CHECK(r.probes.size() == (clear ? 11U : 12U));
  }
}

TEST_CASE("NotSent: a probe that did not leave says nothing", "[not-sent]") {
  Settings s = self_loading();
  s.probes = true;
  Invoker r(s);
  r.list({entry("a")});
  warm_up(r);
  r.advance(2000);  // it has not answered for so long that a failed probe would count as a loss
  r.handle(event::ProbeEnded{"a", Outcome::not_sent, Millis(0), std::nullopt});
  r.advance(100);
  CHECK(r.probes.empty());
  for (int i = 0; i < 10; ++i) {
    r.request("x" + std::to_string(i));
    REQUIRE(r.sends.size() == static_cast<std::size_t>(i) + 2);
    r.answer(action::Send(r.sends.back()), Outcome::ok);
  }
}

TEST_CASE("Unreachable: may have run and makes its worker suspect", "[unreachable]") {
  for (const char* cls : {"safe", "unsafe"}) {
    Settings s = self_loading();
    s.probes = true;
    Invoker r(s);
    r.list({entry("a")});
    warm_up(r);
    r.request("x", 1, cls);
    r.answer(action::Send(r.sends.back()), Outcome::unreachable);
    CHECK(r.probes == std::vector<std::string>{"a"});
    const bool once = std::string(cls) == "unsafe";
    CHECK(r.failed.size() == (once ? 1U : 0U));
    r.advance(50);
    CHECK(r.sends.size() == 2U);
    r.handle(event::ProbeEnded{"a", Outcome::ok, Millis(1), std::nullopt});
    r.advance(50);
    CHECK(r.sends.size() == (once ? 2U : 3U));
  }
}

// A reset of a worker that answered a moment ago says that its process died: when it answers again it is
// warming up. That the network gave up does not, with probes or without.
TEST_CASE("Unreachable: is no restart", "[unreachable]") {
  const auto sent_after = [](Outcome outcome, bool probes) {
    Settings s = self_loading();
    s.probes = probes;
    Invoker r(s);
    r.list({entry("a")});
    warm_up(r);
    r.advance(2000);
    warm_up(r, "second");
    r.request("x", 1, "unsafe");
    r.answer(action::Send(r.sends.back()), outcome);
    if (probes) { r.handle(event::ProbeEnded{"a", Outcome::ok, Millis(1), std::nullopt}); }
    r.advance(1500);
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
      const std::size_t before = r.sends.size();
      r.request("y" + std::to_string(i));
      if (r.sends.size() > before) {
        ++sent;
        r.answer(action::Send(r.sends.back()), Outcome::ok);
      }
      r.advance(100);
    }
    return sent;
  };
  CHECK(sent_after(Outcome::unreachable, true) == 30);
  CHECK(sent_after(Outcome::unreachable, false) == 30);
  CHECK(sent_after(Outcome::reset, false) < 20);
}

}  // namespace
}  // namespace pathstack::policy::test

// Outcomes caused by this machine or the network instead of the worker: not_sent and unreachable.
#include <catch2/catch.hpp>

#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

/// Workers that load missing functions by themselves, so that every request is sent at once.
Settings self_loading() {
  Settings s = settings();
  s.rejects_on_miss = true;
  return s;
}

void warm_up(Invoker& r, const std::string& id = "first") {
  r.request(id);
  r.answer(action::Send(r.sends.back()), Outcome::ok);
}

TEST_CASE("NotSent: the request goes to another worker at once and no attempt is counted", "[not-sent]") {
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

TEST_CASE("NotSent: the request goes to the only worker again after a backoff", "[not-sent]") {
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

// An attempt that was not sent has no effect on the worker: the worker is not ejected, probed, or taken for
// silent or slow.
TEST_CASE("NotSent: does not count against the worker", "[not-sent]") {
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

// A worker that sends no answer becomes silent, although further calls to it are not sent meanwhile.
TEST_CASE("NotSent: does not count as activity of the worker", "[not-sent]") {
  Invoker r(self_loading());
  r.list({entry("a")});
  warm_up(r);
  r.request("out");
  r.request("x");
  std::size_t seen = 2;
  for (; r.now < Millis(1640); r.advance(20)) {  // silent after 600 ms, six run times
    for (; seen < r.sends.size(); ++seen) r.answer(action::Send(r.sends[seen]), Outcome::not_sent);
  }
  CHECK(seen >= 10U);
  CHECK(r.policy.statistics().at("now.unusable") == 1);
}

TEST_CASE("NotSent: refunds the budget of a warming worker", "[not-sent]") {
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
  CHECK(served(10) >= served(0) - 5);  // ten backoffs cost the time of a few calls, but no budget
}

TEST_CASE("NotSent: a lasting fault causes no busy loop", "[not-sent]") {
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
      // Faults reported at the same time as the attempt must not cause an endless series of attempts.
      for (; answered < r.sends.size() && answered < 100000; ++answered) {
        r.answer(action::Send(r.sends[answered]), Outcome::not_sent, 0);
      }
    }
    // Each request is kept until its latency objective of 1000 ms and sent at most three times in each 40 ms.
    CHECK(r.sends.size() <= kRequests * 3U * 26U);
    CHECK(r.sends.size() >= kRequests * 10U);
    CHECK(r.refused.size() == static_cast<std::size_t>(kRequests));
    CHECK_FALSE(r.final_answer_violated);
  }
}

TEST_CASE("NotSent: a load order is sent again after a backoff and uses no load budget", "[not-sent]") {
  Settings s = settings();
  s.load_window = Millis(5000);
  s.load_floor = 1;
  Invoker r(s);
  r.list({entry("a")});
  r.request("x");
  REQUIRE(r.loads.size() == 1U);
  for (std::size_t i = 1; i <= 3; ++i) {
    r.loaded("a", 1, 0, Outcome::not_sent);
    UNSCOPED_INFO("not sent again at once");
    REQUIRE(r.loads.size() == i);
    r.advance(80);
    REQUIRE(r.loads.size() == i + 1);
  }
  r.loaded("a", 1, 1);
  CHECK(r.sends.size() == 1U);
}

TEST_CASE("NotSent: a load order leaves the instance marked as warm", "[not-sent]") {
  Invoker r;
  r.list({entry("a")});
  r.request("x", 1, "safe", 4000, 1);
  r.loaded("a", 1, 1);
  REQUIRE(r.sends.size() == 1U);
  r.answer(action::Send(r.sends[0]), Outcome::ok);
  r.loaded("a", 1, 0, Outcome::not_sent);
  r.advance(100);
  r.request("y", 1, "safe", 4000, 1);
  UNSCOPED_INFO("the instance is still loaded");
  CHECK(r.sends.size() == 2U);
}

TEST_CASE("NotSent: a suspect worker stays suspect until its probe is sent", "[not-sent]") {
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
      const std::size_t probes_before = r.probes.size();
      r.handle(event::ProbeEnded{"a", Outcome::not_sent, Millis(0), std::nullopt});
      UNSCOPED_INFO("not sent again at once");
      CHECK(r.probes.size() == probes_before);
      r.advance(80);
      REQUIRE(r.probes.size() == probes_before + 1);
      UNSCOPED_INFO("nothing is sent to a suspect worker");
      CHECK(r.sends.size() == 2U);
    }
    // It takes three sent and lost probes to mark the worker down, and one answered probe to clear it.
    r.handle(event::ProbeEnded{"a", then, Millis(1), std::nullopt});
    r.advance(40);
    const bool clear = then == Outcome::ok;
    CHECK(r.sends.size() == (clear ? 3U : 2U));
    CHECK(r.probes.size() == (clear ? 11U : 12U));
  }
}

TEST_CASE("NotSent: a probe that was not sent has no effect", "[not-sent]") {
  Settings s = self_loading();
  s.probes = true;
  Invoker r(s);
  r.list({entry("a")});
  warm_up(r);
  r.advance(2000);  // long enough without an answer for a failed probe to mark the worker down
  r.handle(event::ProbeEnded{"a", Outcome::not_sent, Millis(0), std::nullopt});
  r.advance(100);
  CHECK(r.probes.empty());
  for (int i = 0; i < 10; ++i) {
    r.request("x" + std::to_string(i));
    REQUIRE(r.sends.size() == static_cast<std::size_t>(i) + 2);
    r.answer(action::Send(r.sends.back()), Outcome::ok);
  }
}

TEST_CASE("Unreachable: the attempt may have run, and the worker is suspect", "[unreachable]") {
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

// A reset by a worker that answered recently shows that its process died, so that it is warming up when it
// answers again. A connection that the network gave up does not show this, with or without probes.
TEST_CASE("Unreachable: does not count as a restart", "[unreachable]") {
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

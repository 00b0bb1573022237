#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "policy_harness.h"

namespace pathstack::policy::test {
namespace {

std::string id(const char* stem, int n) { return stem + std::to_string(n); }

std::vector<WorkerEntry> forty_workers() {
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 40; ++i) workers.push_back(entry(id("w", i)));
  return workers;
}

// Settings of one of 100 invokers; a load takes longer than any latency objective.
Settings many_invokers_settings() {
  Settings s = settings();
  s.invokers = 100;
  s.max_attempts = 50;
  for (auto& c : s.classes) c.latency_objective = Millis(800);
  return s;
}

// An invoker with function 1 warm at first_worker() and a run time R of 100 ms.
Invoker warm_invoker(Settings s = settings(), int instances = 1) {
  Invoker r(std::move(s));
  r.list({entry("a"), entry("b"), entry("c")});
  r.request("first");
  if (!r.loads.empty()) r.loaded(r.loads[0].worker, 1, instances);
  if (!r.sends.empty()) r.answer(r.sends.back(), Outcome::ok);
  return r;
}
// The worker of the first attempt.
std::string first_worker(const Invoker& r) { return r.sends.at(0).worker; }

// Guards against many invokers that each load instances of a function at different workers. Placement depends
// on ids alone.
TEST_CASE("placement: invokers agree on the worker of a function", "[policy][placement]") {
  std::set<std::string> chosen;
  for (int rank = 0; rank < 100; ++rank) {
    Settings s = settings();
    s.invokers = 100;
    s.rank = rank;
    s.seed = static_cast<std::uint64_t>(rank);
    Invoker r(s);
    r.list({entry("a"), entry("b"), entry("c"), entry("d"), entry("e")});
    r.request("x", 42);
    REQUIRE(r.sends.size() == 1U);
    chosen.insert(r.sends[0].worker);
  }
  CHECK(chosen.size() == 1U);
}

// Guards against loads that stay counted as in progress at a worker that a full list omits: requests waited
// for them past their latency objectives (found in review).
TEST_CASE("endpoint list: no request waits for a load at a worker that is gone", "[policy][endpoint-list]") {
  for (const bool full : {false, true}) {
    Invoker r;
    r.list({entry("a")});
    r.request("x");
    REQUIRE(r.loads.size() == 1U);
    if (full) r.list({});
    if (!full) r.list({entry("a", WorkerState::gone)}, ListKind::delta);
    r.advance(1100);  // the latency objective is 1000 ms
    UNSCOPED_INFO((full ? "full" : "delta"));
    CHECK(r.refused == std::vector<std::string>{"x"});
    CHECK_FALSE(r.final_answer_violated);
  }
}

// Guards against a warming worker that gets no requests: with 100 invokers its budget was below one request
// per invoker, and none was sent.
TEST_CASE("slow start: many invokers take turns at a warming worker", "[policy][slow-start]") {
  double calls = 0;
  for (int rank = 0; rank < 100; ++rank) {
    Settings s = settings();
    s.invokers = 100;
    s.rank = rank;
    s.seed = static_cast<std::uint64_t>(rank) + 1;
    Invoker r(s);
    r.list({entry("a", WorkerState::ready, 990)});
    for (int i = 0; i < 20; ++i) {
      r.request(id("x", i), 1, "safe", 450);
      r.advance(500);
    }
    calls += static_cast<double>(r.sends.size());
  }
  // During ten seconds the share of this invoker, a hundredth of a core, grows from 0.16 to 0.7 of its full
  // size. At most 2.5 times that work may be sent.
  CHECK(calls >= 10);
  CHECK(calls <= 2.5 * 0.43 * 10000 / 250);
}

// Guards against a warming worker that gets a tenth of what it can serve, while the warm workers use little
// of their cores (found in day rude+mass, seed 101).
TEST_CASE("slow start: a warming worker gets more where warm ones use little of their cores",
          "[policy][slow-start]") {
  const auto sent_to_warming = [](double use, std::size_t& probes) {
    Settings s = settings();
    s.invokers = 100;
    s.probes = true;
    s.reports = ReportMode::probe;
    s.report_fields = {ReportField::utilisation};
    Invoker r(s);
    r.list({entry("w0"), entry("w1"), entry("w2"), entry("w3", WorkerState::ready, 990)});
    int sent = 0;
    std::size_t seen = 0, probed = 0;
    for (int i = 1; i <= 1000; ++i) {
      r.request(id("x", i), static_cast<std::uint64_t>(i));
      for (; seen < r.sends.size(); ++seen) {
        sent += r.sends[seen].worker == "w3";
        r.answer(action::Send(r.sends[seen]), Outcome::ok, 80);
      }
      for (; probed < r.probes.size(); ++probed) {
        r.handle(event::ProbeEnded{r.probes[probed], Outcome::ok, Millis(1), std::vector<double>{use}});
      }
      r.advance(2);
    }
    CHECK_FALSE(r.final_answer_violated);
    probes = r.probes.size();
    return sent;
  };
  std::size_t probes = 0;
  const int at_full_use = sent_to_warming(1, probes);
  CHECK(probes <= 3U);  // one in 5 s while requests are held back from a warming worker
  const int at_half_use = sent_to_warming(0.5, probes);
  CHECK(at_half_use >= 1.5 * at_full_use);
  CHECK(at_half_use <= 2.1 * at_full_use);
  // Core use below a quarter counts as a quarter, and a report of no use at all is valid.
  CHECK(sent_to_warming(0, probes) <= 4.2 * at_full_use);
  CHECK(sent_to_warming(0, probes) >= at_half_use);
}

// Guards against invokers that did not observe a restart themselves and send the warming worker their full
// load (found in run L05b3a2).
TEST_CASE("slow start: a worker that a peer reported down warms up from its return", "[policy][slow-start]") {
  const auto sent_after_return = [](bool reported) {
    Settings s = settings();
    s.invokers = 2;
    s.peer_messages = true;
    Invoker invoker(s);
    invoker.list({entry("a")});
    std::string report;
    std::vector<Action> out;
    Policy peer;
    s.rank = 1;
    peer.handle(invoker.now, event::Start{s}, out);
    peer.handle(invoker.now, event::WorkerList{ListKind::full, {entry("a")}}, out);
    out.clear();
    event::ProbeEnded lost{"a", Outcome::connect_failed, Millis(250), {}};
    peer.handle(invoker.now, lost, out);
    for (const auto& a : out) {
      if (const auto* tell = std::get_if<action::SendPeerMessage>(&a)) report = tell->text;
    }
    CHECK_FALSE(report.empty());
    invoker.request("warm-up");
    invoker.loaded("a", 1, 1);
    for (int i = 0; i < 50; ++i) {
      if (!invoker.sends.empty()) invoker.answer(invoker.sends.back(), Outcome::ok);
      invoker.request(id("before", i));
      invoker.advance(100);
    }
    invoker.answer(invoker.sends.back(), Outcome::ok);
    invoker.advance(3000);
    if (reported) invoker.handle(event::PeerMessage{1, report});
    invoker.advance(4000);
    invoker.handle(event::ProbeEnded{"a", Outcome::ok, Millis(1), {}});
    const auto before = invoker.sends.size();
    for (int i = 0; i < 10; ++i) {
      invoker.request(id("after", i));
      invoker.advance(100);
      if (invoker.sends.size() > before) invoker.answer(invoker.sends.back(), Outcome::ok);
    }
    return invoker.sends.size() - before;
  };
  CHECK(sent_after_return(false) >= 10U);
  CHECK(sent_after_return(true) <= 5U);
}

// Guards against requests that wait until their deadlines for slots at a worker that rejects them as full
// (found in run L05b3a2).
TEST_CASE("scheduler: slots at a full worker keep no requests queued", "[policy][scheduler]") {
  Settings s = settings();
  s.invokers = 100;
  Invoker r(s);
  r.list({entry("a"), entry("b"), entry("c")});
  r.request("first");
  REQUIRE(r.sends.size() == 1U);
  r.answer(r.sends[0], Outcome::ok);
  r.request("x");
  REQUIRE(r.sends.size() == 2U);
  r.answer(r.sends[1], Outcome::full);
  REQUIRE(r.sends.size() == 3U);
  CHECK(r.sends[2].worker != r.sends[1].worker);
}

// Guards against final answers that come only at the deadline and without a Retry-After (found in run
// L05b3a2).
TEST_CASE("giving up: the final answer comes at once with a Retry-After within the limit",
          "[policy][giving-up]") {
  Settings s = settings();
  s.retry_after = true;
  s.max_retry_after = Millis(300);
  s.max_attempts = 1;
  for (const char* cls : {"safe", "unsafe"}) {
    Invoker r = warm_invoker(s);
    r.request("x", 1, cls);
    r.answer(r.sends.back(), Outcome::error);
    const bool refusable = std::string(cls) == "safe";
    REQUIRE(r.refused.size() == (refusable ? 1U : 0U));
    REQUIRE(r.failed.size() == (refusable ? 0U : 1U));
    if (!refusable) continue;
    CHECK(r.retry_after.back().count() > 0);
    CHECK(r.retry_after.back().count() <= 300);
  }
  s.retry_after = false;
  Invoker r(s);
  r.list({});
  r.request("x");
  r.advance(4000);
  REQUIRE(r.retry_after.size() == 1U);
  CHECK(r.retry_after[0].count() == 0);
}

TEST_CASE("giving up: a queued request past its latency objective ends at once", "[policy][giving-up]") {
  Invoker r;
  r.list({});  // no worker can serve it
  r.request("x");
  r.advance(900);
  CHECK(r.refused.empty());
  r.advance(150);
  CHECK(r.refused.size() == 1U);
}

// Guards against a client's retry that is queued as if its latency objective started again (found in run
// L05b3a2).
TEST_CASE("giving up: a retry has the latency objective of the first attempt", "[policy][giving-up]") {
  Invoker r;
  r.list({});
  r.request("first", 1, "safe", 4000);
  r.request("later", 2, "safe", 2900);  // 1100 ms after its first attempt, past the objective of 1000 ms
  r.advance(30);
  CHECK(r.refused == std::vector<std::string>{"later"});
}

// Guards against first attempts that are mistaken for retries. First attempts are given half of the deadline,
// a retry all that is left of it; after the first retry, every first attempt was taken for a retry and
// refused wherever requests were queued (found in day 3).
TEST_CASE("giving up: a first attempt has the time left that most requests have", "[policy][giving-up]") {
  Invoker r;
  r.list({});
  for (int i = 0; i < 4; ++i) r.request(id("first", i), static_cast<std::uint64_t>(i + 1), "safe", 1900);
  r.request("later", 8, "safe", 2980);
  r.request("last", 9, "safe", 700);
  r.request("new", 10, "safe", 1900);
  r.advance(100);
  CHECK(r.refused == (std::vector<std::string>{"later", "last"}));
  r.advance(1000);
  CHECK(r.refused.size() == 7U);
}

// Guards against requests that overflow from full workers to ever more workers, where their loads evict
// instances permanently (found in run h6ac7e3).
TEST_CASE("placement: requests do not overflow to the whole fleet", "[policy][placement]") {
  Invoker r(many_invokers_settings());
  r.list(forty_workers());
  std::set<std::string> used;
  std::size_t seen = 0;
  for (int i = 0; i < 900; ++i) {
    if (i % 30 == 0) r.request(id("x", i));
    while (seen < r.sends.size()) {
      used.insert(r.sends[seen].worker);
      const auto send = r.sends[seen++];
      r.answer(send, Outcome::full);
    }
    r.advance(20);
  }
  CHECK(used.size() >= 2U);
  CHECK(used.size() <= 10U);
}

// Guards against a busy invoker that assumes an average share of the requests and spreads its functions over
// all workers (found in run h6ac7e3).
TEST_CASE("placement: a busy invoker accounts for its share of the requests", "[policy][placement]") {
  const auto used = [](double peer_calls) {
    Settings s = many_invokers_settings();
    s.peer_messages = true;
    Invoker r(s);
    r.list(forty_workers());
    std::set<std::string> workers;
    std::size_t seen = 0;
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0 && peer_calls > 0) {
        const auto level = static_cast<char>('0' + std::lround(4 * std::log2(peer_calls)));
        r.handle(event::PeerMessage{1, std::string("!!!") + level});
      }
      r.request(id("x", i));
      while (seen < r.sends.size()) {
        workers.insert(r.sends[seen].worker);
        const auto send = r.sends[seen++];
        r.answer(send, i < 200 ? Outcome::ok : Outcome::full);  // then all workers are full
      }
      r.advance(20);
    }
    return workers.size();
  };
  CHECK(used(0) >= 12U);
  CHECK(used(2) + 3 <= used(0));
}

// Guards against a worker that fails one class while it serves the others.
TEST_CASE("outlier: a class that fails at one worker is sent to other workers", "[policy][outlier]") {
  Settings s = settings();
  s.max_attempts = 5;
  Invoker r = warm_invoker(s);
  const std::string bad = first_worker(r);
  std::size_t last = 0;
  for (int i = 0; i < 4; ++i) {
    r.request(id("x", i));
    last = r.sends.size();
    if (r.sends.back().worker == bad) r.answer(r.sends.back(), Outcome::error);
    if (!r.loads.empty()) r.loaded(r.loads.back().worker, 1, 1);
    r.advance(40);
  }
  CHECK(r.sends.size() >= last);
  CHECK(r.sends.back().worker != bad);
}

// Guards against answers that waited for a load and count as runs of 1.5 s where answers do not report
// warmth: workers looked slowed down, and warm ones were sent nothing (found in incident inc142).
TEST_CASE("concurrency limit: answers that waited for a load do not count as slowdown",
          "[policy][concurrency-limit]") {
  Settings s = settings();
  s.invokers = 100;
  s.reports_warmth = false;
  Invoker r(s);
  r.list({entry("a"), entry("b"), entry("c")});
  for (int i = 0; i < 12; ++i) {  // runs of 100 ms, but each function's first call waits for its load
    r.request(id("first", i), static_cast<std::uint64_t>(i + 1));
    r.answer(r.sends.back(), Outcome::ok, 1600, Warmth::unknown);
    r.request(id("then", i), static_cast<std::uint64_t>(i + 1));
    r.answer(r.sends.back(), Outcome::ok, 100, Warmth::unknown);
    r.advance(50);
  }
  const auto statistics = r.policy.statistics();
  CHECK_THAT(statistics.at("now.run_ms"), Catch::Matchers::WithinAbs(100.0, 20));
  CHECK_THAT(statistics.at("now.load_ms"), Catch::Matchers::WithinAbs(1500.0, 150));
  CHECK(statistics.at("now.sum_stretch") / statistics.at("now.workers") <= 1.2);
  const auto before = r.sends.size();
  r.request("x", 1, "safe");
  CHECK(r.sends.size() == before + 1);
}

// Guards against a worker that is taken for silent while the only request of a quiet invoker waits there for
// a load: the worker was excluded, and the request was sent to another one to load there too (found in
// incident inc3048).
TEST_CASE("outlier: a worker that loads a function for its only request is not silent", "[policy][outlier]") {
  Settings s = many_invokers_settings();
  s.cancel = true;
  s.reports_warmth = false;
  Invoker r(s);
  r.list({entry("a"), entry("b"), entry("c")});
  r.request("x", 7);
  REQUIRE(r.sends.size() == 1U);
  r.advance(1400);  // the duration of a load
  CHECK(r.cancels.empty());
  CHECK(r.sends.size() == 1U);
  CHECK((r.policy.statistics().count("now.unusable") == 0 ? 0 : r.policy.statistics().at("now.unusable")) ==
        0);
  r.answer(r.sends[0], Outcome::ok, 1400, Warmth::unknown);
  // A worker that does not answer although its instance is known to be warm is still excluded.
  r.request("y", 7);
  REQUIRE(r.sends.size() == 2U);
  r.advance(1000);
  CHECK(r.cancels.size() == 1U);
}

// Guards against a failing worker that a quiet invoker hardly ever excludes. Such an invoker sends to a
// worker once in several seconds, for functions that it has not seen served, and an exclusion needed two
// errors of known functions (found in day 6).
TEST_CASE("outlier: one fast error ejects a worker for a class at a quiet invoker", "[policy][outlier]") {
  Invoker r(many_invokers_settings());
  r.list(forty_workers());
  std::vector<std::uint64_t> at_bad;  // functions with the same placement as function 1
  std::string bad;
  for (std::uint64_t f = 1; at_bad.size() < 4; ++f) {
    Invoker probe(many_invokers_settings());
    probe.list(forty_workers());
    probe.request("x", f);
    if (bad.empty()) bad = probe.sends.at(0).worker;
    if (probe.sends.at(0).worker == bad) at_bad.push_back(f);
  }
  r.request("a", at_bad[0], "unsafe");
  REQUIRE(r.sends.back().worker == bad);
  r.answer(r.sends.back(), Outcome::error, 5);
  CHECK(r.failed.size() == 1U);
  r.advance(3000);
  r.request("b", at_bad[1], "unsafe");
  CHECK(r.sends.back().worker != bad);
  r.request("c", at_bad[2], "safe");  // another class may succeed there
  CHECK(r.sends.back().worker == bad);
  r.answer(r.sends.back(), Outcome::ok, 50);
  r.advance(2000);
  r.request("d", at_bad[3], "unsafe");  // the worker is tried again after a while
  CHECK(r.sends.back().worker == bad);
  // An error that took as long as a load may be a failed load, so it excludes no worker.
  r.request("e", 5000, "keyed");
  const std::string slow = r.sends.back().worker;
  r.answer(r.sends.back(), Outcome::error, 1200);
  r.advance(100);
  r.request("f", 5000, "keyed");
  CHECK(r.sends.back().worker == slow);
}

// Guards against loads at a second and third worker for requests that overflow: these were four in ten of all
// loads (found in incident inc142).
TEST_CASE("placement: a request overflows to one further worker", "[policy][placement]") {
  Invoker r(many_invokers_settings());
  r.list(forty_workers());
  std::set<std::string> used;
  r.request("x");
  for (std::size_t seen = 0; seen < r.sends.size(); ++seen) {
    used.insert(r.sends[seen].worker);
    r.answer(action::Send(r.sends[seen]), Outcome::full);
  }
  CHECK(used.size() == 2U);
}

// Guards against a returning worker that is sent half of its usual requests although it has room for more
// than all of them (found in day 5).
TEST_CASE("slow start: a warming worker gets most of its usual requests and no overload",
          "[policy][slow-start]") {
  Settings s = settings();
  s.invokers = 100;
  s.slow_start_initial_capacity = 0.31;
  s.cold_overload_multiple = 4;
  Invoker r(s);
  std::vector<WorkerEntry> workers;
  for (int i = 0; i < 10; ++i) workers.push_back(entry(id("w", i)));
  r.list(workers);
  std::size_t seen = 0;
  // Each request is for a function of its own, since a function that moved to another worker stays there for
  // a while.
  std::uint64_t calls = 0;
  const auto sent_to = [&](const std::string& worker, int rounds) {
    int sent = 0;
    for (int i = 0; i < rounds; ++i) {
      ++calls;
      r.request(id("x", static_cast<int>(calls)), calls);
      for (; seen < r.sends.size(); ++seen) {
        sent += r.sends[seen].worker == worker;
        r.answer(action::Send(r.sends[seen]), Outcome::ok, 80);
      }
      r.advance(10);
    }
    return sent;
  };
  sent_to("w3", 600);
  const int usual = sent_to("w3", 300);
  REQUIRE(usual >= 10);
  r.list({entry("w3", WorkerState::ready, r.now.count())}, ListKind::delta);
  const int warming = sent_to("w3", 300);
  CHECK(warming >= 0.65 * usual);
  CHECK(warming <= 1.24 * usual);  // its initial share of a warm worker's capacity times the multiple
}

TEST_CASE("endpoint list: a worker that reuses the index of one long gone has none of its state",
          "[policy][endpoint-list]") {
  Settings s = settings();
  s.rejects_on_miss = true;
  Invoker r(s);
  // Each worker reuses the index of the one that was listed two rounds before.
  for (int round = 0; round < 40; ++round) {
    const std::string id = "w" + std::to_string(round);
    r.list({entry(id, WorkerState::ready, round == 0 ? 0 : r.now.count())}, ListKind::delta);
    if (round > 0) {
      const std::string before = "w" + std::to_string(round - 1);
      r.list({entry(before, WorkerState::gone)}, ListKind::delta);
      // Events about workers that are gone have no effect.
      r.handle(event::ProbeEnded{"w" + std::to_string(round - 2), Outcome::connect_failed, Millis(1),
                                 std::nullopt});
      r.loaded("w" + std::to_string(round - 2), 1, 3);
    }
    r.advance(20000);
    const auto sent = r.sends.size();
    const std::string call = "c" + std::to_string(round);
    r.request(call, 1, "safe", 8000);
    for (int i = 0; i < 100 && r.answered.count(call) == 0; ++i) {
      if (r.sends.size() > sent && r.sends.back().id == call) r.answer(r.sends.back(), Outcome::ok);
      r.advance(20);
    }
    REQUIRE(r.sends.size() > sent);
    CHECK(r.sends.back().worker == id);
    r.advance(45000);
  }
  CHECK_FALSE(r.final_answer_violated);
}

TEST_CASE("outlier: a function that no worker knows excludes no worker", "[policy][outlier]") {
  Settings s = settings();
  s.rejects_on_miss = true;
  Invoker r(s);
  r.list({entry("w1")});
  for (int i = 0; i < 6; ++i) {
    r.request("a" + std::to_string(i), 99, "unsafe");
    if (r.sends.size() == static_cast<std::size_t>(i + 1)) r.answer(r.sends.back(), Outcome::error);
  }
  const auto before = r.sends.size();
  r.request("b", 1, "unsafe");
  CHECK(r.sends.size() == before + 1);
}

TEST_CASE("outlier: after a broken connection a probe checks whether the worker runs", "[policy][outlier]") {
  for (const bool runs : {true, false}) {
    Settings s = settings();
    s.probes = s.rejects_on_miss = true;
    Invoker r(s);
    r.list({entry("w1")});
    r.request("a");
    r.answer(r.sends.at(0), Outcome::ok);
    for (const char* id : {"b", "c"}) r.request(id);
    r.answer(r.sends.at(1), Outcome::reset);  // both attempts were on one connection
    r.answer(r.sends.at(2), Outcome::reset);
    REQUIRE(r.probes == std::vector<std::string>{"w1"});
    CHECK(r.sends.size() == 3U);  // nothing is sent there until the probe is answered
    // A probe may use another connection that breaks too, which says no more than the first one did.
    for (const Outcome o : {Outcome::reset, Outcome::connect_failed, runs ? Outcome::ok : Outcome::reset}) {
      r.handle(event::ProbeEnded{"w1", o, Millis(2), std::nullopt});
    }
    CHECK(r.probes.size() == 3U);
    r.advance(50);
    CHECK(r.sends.size() == (runs ? 5U : 3U));
    for (std::size_t i = 3; i < r.sends.size(); ++i) r.answer(r.sends[i], Outcome::ok);
    for (int i = 0; i < 20; ++i) {  // the worker is as warm as before
      r.request("d" + std::to_string(i));
      if (runs) r.answer(r.sends.back(), Outcome::ok);
      r.advance(20);
    }
    CHECK(r.sends.size() == (runs ? 25U : 3U));
  }
}

// Load reports of peers, whatever their content, violate no rule; the worst effect is a worse choice of
// worker.
TEST_CASE("gossip: any content is harmless", "[policy][gossip]") {
  Settings s = settings();
  s.peer_messages = true;
  s.invokers = 3;
  Invoker r = warm_invoker(s);
  for (const char* text : {"", "q", "qabc", "q000z000z", "nonsense", "q\xff\xfe\xfd\xfc"})
    r.handle(event::PeerMessage{1, text});
  r.request("x");
  r.advance(5000);
  CHECK_FALSE(r.final_answer_violated);
  CHECK(r.sends.back().id == "x");
}

TEST_CASE("scheduler: starts one load if no instance is warm", "[policy][scheduler]") {
  Invoker r(settings());
  r.list({entry("a"), entry("b")});
  r.request("x");
  r.advance(100);
  r.request("y");
  CHECK(r.loads.size() == 1U);
  r.loaded(r.loads[0].worker, 1, 1);
  CHECK(r.sends.size() == 2U);
}

// E = N + 1 - L K / R with K = 2 slots, R = 100 ms and L = min(500, objective - R) = 500 ms (the duration
// of its load order): L K / R is 10, so ten requests may wait and the eleventh starts a load.
TEST_CASE("scheduler: the decision to load counts concurrency slots", "[policy][scheduler]") {
  Invoker r = warm_invoker();
  r.request("l1");
  r.request("l2");
  for (int i = 1; i <= 10; ++i) r.request(id("w", i));
  CHECK(r.loads.size() == 1U);
  r.request("w11");
  REQUIRE(r.loads.size() == 2U);
  CHECK(r.loads[1].worker != first_worker(r));
}

TEST_CASE("scheduler: slots at a worker full of other requests are not counted", "[policy][scheduler]") {
  Invoker r;
  r.list({entry("w1")});
  for (const std::uint64_t function : {1, 2}) {
    r.request("warm" + std::to_string(function), function, "safe", 4000, 16);
    r.loaded("w1", function, 1);
    REQUIRE(r.sends.size() == function);
    r.answer(r.sends.back(), Outcome::ok);
  }
  r.list({entry("w2")}, ListKind::delta);
  for (int i = 0; i < 20; ++i) r.request("other" + std::to_string(i), 2, "safe", 4000, 16);
  const auto loads = r.loads.size(), sends = r.sends.size();
  r.request("a", 1, "safe", 4000, 16);
  CHECK(r.sends.size() == sends);  // the worker of its instance has no room for another request
  REQUIRE(r.loads.size() == loads + 1);
  CHECK(r.loads.back().worker == "w2");
  CHECK(r.loads.back().function == 1U);
}

TEST_CASE("scheduler: a freed slot goes to the head of the queue", "[policy][scheduler]") {
  Invoker r = warm_invoker();
  r.request("l1");
  r.request("l2");
  r.request("w1");
  CHECK(r.sends.size() == 3U);
  r.answer(r.sends[1], Outcome::ok);
  REQUIRE(r.sends.size() == 4U);
  CHECK(r.sends[3].id == "w1");
}

// Guards against requests that are sent again at once after a rejection as full, with five attempts each.
TEST_CASE("concurrency limit: a full worker gets no attempts for a while", "[policy][concurrency-limit]") {
  Invoker r = warm_invoker();
  r.request("x");
  r.answer(r.sends.back(), Outcome::full);
  const auto before = r.sends.size();
  r.advance(20);
  CHECK(r.sends.size() == before);
  r.advance(100);
  CHECK(r.sends.size() == before + 1);
}

// Guards against requests that pile up at a worker that serves all of them late.
TEST_CASE("concurrency limit: a worker that slows down gets fewer requests", "[policy][concurrency-limit]") {
  Invoker r = warm_invoker(settings(), 16);
  for (int i = 0; i < 8; ++i) {
    r.request(id("slow", i));
    r.advance(100);
    r.answer(r.sends.back(), Outcome::ok, 900);
  }
  const auto before = r.sends.size();
  for (int i = 0; i < 12; ++i) r.request(id("burst", i));
  CHECK(r.sends.size() <= before + 4);
}

// Guards against workers that still serve abandoned attempts while clients with short timeouts leave and
// retry.
TEST_CASE("cancellation: the attempt of a client that left is cancelled", "[policy][cancellation]") {
  Settings s = settings();
  s.cancel = true;
  Invoker r = warm_invoker(s);
  r.request("x");
  r.handle(event::RequestAbandoned{"x"});
  REQUIRE(r.cancels.size() == 1U);
  CHECK(r.cancels[0].id == "x");
  r.advance(5000);
  CHECK(r.answered.count("x") == 0U);
}

// Guards against the exclusion of workers that serve other classes well, for one class that fails everywhere.
TEST_CASE("outlier: a class that fails everywhere excludes no worker", "[policy][outlier]") {
  Invoker r(settings());
  r.list({entry("a"), entry("b"), entry("c")});
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    for (const bool fails : {true, false}) {
      const auto loads = r.loads.size(), sends = r.sends.size();
      r.request(id(fails ? "u" : "k", i), fails ? 3 : 2, fails ? "unsafe" : "keyed");
      if (r.loads.size() > loads) r.loaded(r.loads.back().worker, r.loads.back().function, 1);
      if (r.sends.size() > sends) r.answer(r.sends.back(), fails ? Outcome::error : Outcome::ok);
      served += !fails && r.sends.size() > sends ? 1 : 0;
      r.advance(50);
    }
  }
  CHECK(served == 60);
}

TEST_CASE("retries: what follows an outcome is allowed by the semantics", "[policy][retries]") {
  const Outcome outcome = GENERATE(Outcome::error, Outcome::full, Outcome::timeout, Outcome::connect_failed,
                                   Outcome::reset, Outcome::cancelled, Outcome::moot, Outcome::miss);
  const std::string cls = GENERATE(as<std::string>{}, "safe", "keyed", "unsafe");
  CAPTURE(static_cast<int>(outcome), cls);
  const bool never_ran = outcome == Outcome::full || outcome == Outcome::connect_failed ||
                         outcome == Outcome::moot || outcome == Outcome::miss;
  Invoker r = warm_invoker();
  r.request("x", 1, cls);
  const auto before = r.sends.size();
  REQUIRE(r.sends.back().id == "x");
  r.answer(r.sends.back(), outcome);
  r.advance(5000);
  CHECK_FALSE(r.final_answer_violated);
  if (cls == "unsafe" && !never_ran) {
    CHECK(r.sends.size() == before);
    CHECK(r.failed == std::vector<std::string>{"x"});
    CHECK(r.refused.empty());
  }
  CHECK(r.attempts["x"] <= 3);
}

TEST_CASE("deadlines: every request is answered in time with no workers", "[policy][deadlines]") {
  Invoker r(settings());
  r.list({});
  for (int i = 0; i < 10; ++i) r.request(id("x", i), 1, i % 2 ? "unsafe" : "safe", 500);
  r.advance(500);
  CHECK(r.answered.size() == 10U);
  CHECK_FALSE(r.final_answer_violated);
}

TEST_CASE("deadlines: an unanswered attempt or order does not lose a request", "[policy][deadlines]") {
  for (const bool miss : {false, true}) {
    Settings s = settings();
    s.rejects_on_miss = miss;
    Invoker r = warm_invoker(s);
    r.request("x", 1, "unsafe");
    r.request("y", 2, "safe");
    r.advance(4000);
    CHECK(r.answered.count("x") == 1U);
    CHECK(r.answered.count("y") == 1U);
    CHECK_FALSE(r.final_answer_violated);
  }
}

TEST_CASE("idempotency: a keyed request is not repeated past its window", "[policy][idempotency]") {
  for (const double wait : {500.0, 1997.0}) {
    Invoker r = warm_invoker();
    r.request("x", 1, "keyed");
    const auto before = r.sends.size();
    r.now += Millis(wait);
    r.answer(r.sends.back(), Outcome::error);
    CHECK((r.sends.size() > before) == (wait < 1500));
    CHECK(r.failed.size() == (wait < 1500 ? 0U : 1U));
    CHECK(r.refused.empty());
  }
}

// A keyed request within its window but past its latency objective is not sent again; the scope of its key
// allows a refusal.
TEST_CASE("idempotency: a keyed request past its objective is refused", "[policy][idempotency]") {
  Invoker r = warm_invoker();
  r.request("x", 1, "keyed");
  const auto before = r.sends.size();
  r.now += Millis(1000);
  r.answer(r.sends.back(), Outcome::error);
  CHECK(r.sends.size() == before);
  CHECK(r.refused.size() == 1U);
  CHECK(r.failed.empty());
}

TEST_CASE("idempotency: a request with a cell-scoped key stays in its cell", "[policy][idempotency]") {
  Settings s = settings();
  s.classes[1].scope = KeyScope::cell;
  Invoker r(s);
  auto other = entry("b");
  other.cell = 9;
  r.list({entry("a"), other});
  r.request("x", 1, "keyed");
  r.loaded("a", 1, 1);
  r.loaded("b", 1, 1);
  const auto first = r.sends.at(0).worker;
  r.answer(r.sends[0], Outcome::error);
  r.advance(4000);
  for (const auto& send : r.sends) CHECK(send.worker == first);
  CHECK(r.refused.empty());
  CHECK(r.answered.size() == 1U);
}

TEST_CASE("endpoint list: nothing new is sent to a draining or gone worker", "[policy][endpoint-list]") {
  for (const auto state : {WorkerState::draining, WorkerState::gone}) {
    Invoker r = warm_invoker();
    const std::string out = first_worker(r);
    r.list({entry(out, state)}, ListKind::delta);
    const auto loads = r.loads.size();
    const auto before = r.sends.size();
    for (int i = 0; i < 5; ++i) r.request(id("x", i));
    r.advance(3000);
    for (auto i = before; i < r.sends.size(); ++i) CHECK(r.sends[i].worker != out);
    REQUIRE(r.loads.size() > loads);
    for (auto i = loads; i < r.loads.size(); ++i) CHECK(r.loads[i].worker != out);
  }
}

TEST_CASE("endpoint list: a worker missing from a full list is gone", "[policy][endpoint-list]") {
  Invoker r = warm_invoker();
  const std::string left = first_worker(r) == "b" ? "c" : "b";
  const auto loads = r.loads.size();
  r.list({entry(left)});
  r.request("x");
  r.advance(3000);
  CHECK(r.sends.size() == 1U);
  REQUIRE(r.loads.size() > loads);
  for (auto i = loads; i < r.loads.size(); ++i) CHECK(r.loads[i].worker == left);
}

TEST_CASE("slow start: a warming worker gets only a few requests", "[policy][slow-start]") {
  Settings s = settings();
  s.max_attempts = 5;
  Invoker r(s);
  r.list({entry("a", WorkerState::ready, 990)});
  for (int i = 0; i < 60; ++i) {
    r.request(id("y", i), 1, "safe", 900);
    r.advance(10);
    if (!r.sends.empty() && r.answered.count(r.sends.back().id) == 0)
      r.answer(r.sends.back(), Outcome::ok, 100);
  }
  // 0.16 of one core, times 2.5, for one second is 400 ms of work: four requests of 100 ms.
  CHECK(r.sends.size() <= 4U);
}

TEST_CASE("load orders: their number stays within the load budget", "[policy][load-orders]") {
  Settings s = settings();
  s.load_window = Millis(5000);
  s.load_floor = 2;
  s.load_ratio = 0.1;
  Invoker r(s);
  r.list({entry("a"), entry("b"), entry("c"), entry("d")});
  for (int i = 0; i < 25; ++i) {
    r.request(id("x", i), static_cast<std::uint64_t>(100 + i));
    if (!r.loads.empty()) r.loaded(r.loads.back().worker, r.loads.back().function, 1);
    CHECK(static_cast<double>(r.loads.size()) <= 2 + 0.1 * (i + 1));
  }
  CHECK(r.loads.size() >= 3U);
}

TEST_CASE("load orders: an order that is never answered is repeated at another worker",
          "[policy][load-orders]") {
  Invoker r(settings());
  r.list({entry("a"), entry("b")});
  r.request("x");
  REQUIRE(r.loads.size() == 1U);
  r.advance(3900);
  REQUIRE(r.loads.size() >= 2U);
}

TEST_CASE("load orders: the number in flight is bounded", "[policy][load-orders]") {
  Invoker r(settings());
  r.list({entry("a"), entry("b"), entry("c"), entry("d")});
  for (int i = 0; i < 40; ++i) r.request(id("x", i), static_cast<std::uint64_t>(100 + i));
  r.advance(500);
  CHECK(r.loads.size() >= 2U);
  CHECK(r.loads.size() <= 12U);
}

// Plays the same events with `tag` in front of all names of classes, worker kinds and requests, and returns
// the placements. Another spelling of these names changes no decision; ids of workers and functions are
// hashed and affect only the placement.
std::vector<std::string> placements_with(const std::string& tag) {
  Settings s = settings();
  for (auto& c : s.classes) c.name = tag + c.name;
  s.kind_memory_mb = {{tag + "k", 10000}};
  Invoker r(s);
  std::vector<WorkerEntry> workers;
  for (const char* name : {"q", "b", "z", "a", "m"}) {
    workers.push_back(entry(name));
    workers.back().kind = tag + "k";
  }
  r.list(workers);
  std::mt19937 random(11);
  std::size_t seen = 0;
  for (int i = 0; i < 300; ++i) {
    const auto loads = r.loads.size();
    const auto f = random() % 8;
    r.request(tag + std::to_string(i), f + 1, tag + "safe");
    for (auto k = loads; k < r.loads.size(); ++k) r.loaded(r.loads[k].worker, r.loads[k].function, 1);
    r.advance(static_cast<double>(random() % 30));
    if (r.sends.size() > seen && r.answered.count(r.sends.back().id) == 0) {
      seen = r.sends.size();  // an attempt has one outcome
      r.answer(r.sends.back(), random() % 9 == 0 ? Outcome::error : Outcome::ok,
               60 + static_cast<double>(random() % 80));
    }
  }
  std::vector<std::string> placements;
  for (const auto& send : r.sends) {
    for (std::size_t i = 0; i < workers.size(); ++i) {
      if (workers[i].worker == send.worker)
        placements.push_back(std::to_string(i) + "/" + send.id.substr(tag.size()));
    }
  }
  CHECK_FALSE(r.final_answer_violated);
  return placements;
}
TEST_CASE("names: the spelling of names has no effect on decisions", "[policy][names]") {
  const auto plain = placements_with("");
  CHECK(plain.size() > 50U);
  CHECK(plain == placements_with("xyzzy-"));
  CHECK(plain == placements_with(""));
}

TEST_CASE("malformed input: violates no rule", "[policy][malformed-input]") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    Settings s = settings();
    s.rejects_on_miss = seed % 2 == 0;
    s.peer_messages = true;
    s.invokers = 3;
    Invoker r(s);
    const auto any = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    std::map<std::string, Millis> due;
    for (int i = 0; i < 600; ++i) {
      switch (any(9)) {
        case 0: {
          std::vector<WorkerEntry> list;
          for (int k = 0; k < any(6); ++k) {
            list.push_back(entry(id("w", any(6)), static_cast<WorkerState>(any(3)), any(3) * 1000.0 - 500));
            list.back().weight = any(3) - 1;
          }
          r.list(list, static_cast<ListKind>(any(4)));
          break;
        }
        case 1:
        case 2:
        case 3: {
          const double expires = any(3000) - 100.0;
          r.memory_mb = any(2) ? 1e9 : -5;
          const auto name = id("r", any(400));
          if (r.attempts.count(name) == 0 && r.answered.count(name) == 0 && due.count(name) == 0) {
            due[name] = r.now + Millis(std::max(0.0, expires));
            r.request(name, static_cast<std::uint64_t>(any(5)), any(4) ? "safe" : "nobody", expires,
                      any(4) - 1);
          }
          break;
        }
        case 4:
          if (!r.sends.empty()) {
            r.answer(r.sends[static_cast<std::size_t>(any(static_cast<int>(r.sends.size())))],
                     static_cast<Outcome>(any(9)), any(2) ? -50 : 1e12, static_cast<Warmth>(any(5)));
          }
          break;
        case 5: r.loaded(id("w", any(9)), static_cast<std::uint64_t>(any(9)), any(40) - 5); break;
        case 6: r.handle(event::PeerMessage{any(9) - 2, any(2) ? "1 w1\n2" : "\xff nonsense"}); break;
        case 7: r.handle(event::Timer{static_cast<std::uint64_t>(any(1000))}); break;
        default: r.advance(any(60) == 0 ? 200000 : any(100)); break;
      }
    }
    r.advance(10000);
    for (const auto& [name, when] : due) {
      UNSCOPED_INFO(name << " seed " << seed);
      CHECK(r.answered.count(name) == 1U);
    }
  }
}

}  // namespace
}  // namespace pathstack::policy::test

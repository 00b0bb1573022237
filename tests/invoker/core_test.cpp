// The dispatcher and the shutdown times, with a simulated clock, hosts and front.
#include <catch2/catch.hpp>
#include <cmath>

#include "core/dispatcher.h"
#include "core/shutdown.h"
#include "support/random.h"
#include "support/settings.h"

namespace pathstack::test {
namespace {

// Hosts that record attempts and load orders, and a front that records answers. Both check the rules for
// each of them.
struct RecordingPeers final : core::Hosts, core::Front {
  struct SentAttempt {
    std::string body, host;
    bool open = true;
  };
  std::map<core::Attempt, SentAttempt> attempts;
  std::map<core::CallId, std::vector<core::Answer>> answers;
  std::vector<std::pair<std::string, std::uint64_t>> orders;
  void send_attempt(const core::Attempt& a, const std::string& host, const core::Call& call,
                    Millis timeout) override {
    CHECK(timeout.count() > 0);
    CHECK(answers.count(a.call) == 0);
    for (const auto& [other, o] : attempts) CHECK_FALSE((other.call == a.call && o.open));
    CHECK(a.number < 4);
    attempts[a] = {call.body, host};
  }
  bool cancel(const core::Attempt& a) override {
    const auto found = attempts.find(a);
    return found != attempts.end() && std::exchange(found->second.open, false);
  }
  void probe(const std::string&) override {}
  void order_load(const std::string& host, std::uint64_t function, int) override {
    orders.emplace_back(host, function);
  }
  void unload(const std::string&, std::uint64_t) override {}
  void answer(core::CallId call, core::Answer&& answer) override {
    answers[call].push_back(std::move(answer));
  }
};

struct DispatcherFixture {
  Millis now{1000};
  RecordingPeers peers;
  core::Counters counters;
  core::Dispatcher dispatcher;
  int refs = 0;
  explicit DispatcherFixture(int hosts, const core::Settings& s = settings())
      : dispatcher(
            s, [this] { return now; }, peers, counters) {
    core::HostList list;
    for (int i = 0; i < hosts; ++i) {
      list.entries.emplace_back();
      list.entries.back().worker = "h" + std::to_string(i);
    }
    dispatcher.update_hosts(std::move(list));
  }
  core::CallId call(const std::string& cls, const std::string& ref, Millis allow = Millis(1000)) {
    core::Call c;
    c.ref = ref;
    c.class_name = cls;
    c.function = 7;
    c.function_name = "0000000000000007";
    c.memory_mb = 300;
    c.concurrency = 4;
    c.arrived = now;
    c.client_timeout = allow;
    c.body = ref;
    const core::CallId id = dispatcher.next_id();
    CHECK(dispatcher.take(id, std::move(c), peers));
    return id;
  }
  void advance(Millis span) {
    const Millis until = now + span;
    while (dispatcher.next_due() <= until) {
      now = std::max(now, dispatcher.next_due());
      dispatcher.tick();
    }
    now = until;
  }
};

TEST_CASE(
    "a shutdown answers all calls before the earliest SIGKILL, and not before requests have stopped "
    "arriving") {
  const Millis deadline{GENERATE(300.0, 1500.0, 3000.0, 7000.0)}, sigterm{5000};
  const Millis sigkill = sigterm + std::min(deadline, Millis(3000)) + Millis(700);
  core::Shutdown shutdown(deadline);
  CHECK((shutdown.accepts_connections(sigterm) && !shutdown.final_answers_due(Millis(1e9)) &&
         !shutdown.must_exit(Millis(1e9))));
  shutdown.start(sigterm);
  shutdown.start(sigterm + Millis(400));  // a second SIGTERM does not extend the time
  CHECK((shutdown.accepts_connections(sigterm + Millis(450)) &&
         shutdown.accepts_requests(sigterm + Millis(700))));
  CHECK_FALSE(shutdown.final_answers_due(sigterm + Millis(700)));
  CHECK((shutdown.final_answers_due(sigkill - Millis(150)) && shutdown.must_exit(sigkill - Millis(50))));
}

TEST_CASE(
    "whatever hosts do, a call gets one answer in time, has one open attempt at most, and a bin-record never "
    "runs twice") {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    Random random(seed);
    DispatcherFixture fixture(3);
    std::map<core::CallId, Millis> deadline;
    std::map<core::CallId, bool> once, abandoned;
    std::map<core::CallId, int> may_have_run;
    std::size_t loads_answered = 0;
    for (int step = 0; step < 400; ++step) {
      if (below(random, 4) == 0) {
        const bool record = below(random, 2) == 0;
        const Millis allow(50.0 + static_cast<double>(below(random, 900)));
        const auto id = fixture.call(record ? "bin-record" : "bin-check", "r" + std::to_string(step), allow);
        deadline[id] = fixture.now + allow;
        once[id] = record;
      }
      for (const auto& order : std::vector<std::pair<std::string, std::uint64_t>>(
               fixture.peers.orders.begin() + static_cast<std::ptrdiff_t>(loads_answered),
               fixture.peers.orders.end())) {
        ++loads_answered;
        const bool loaded = below(random, 4) != 0;
        fixture.dispatcher.load_ended({order.first, order.second,
                                       loaded ? core::Outcome::ok : core::Outcome::full, Millis(200),
                                       loaded ? 1 : 0});
      }
      const auto attempts_now = fixture.peers.attempts;
      for (const auto& [attempt, o] : attempts_now) {
        if (!fixture.peers.attempts[attempt].open || below(random, 3) != 0) continue;
        const auto outcome = static_cast<core::Outcome>(below(random, 9));
        if (outcome == core::Outcome::timeout || outcome == core::Outcome::cancelled) continue;
        fixture.peers.attempts[attempt].open = false;
        if (!pathstack::policy::proves_never_ran(outcome)) ++may_have_run[attempt.call];
        fixture.dispatcher.attempt_ended(attempt, {outcome, 0, std::nullopt, o.body});
      }
      if (below(random, 10) == 0 && !deadline.empty()) {
        const auto id =
            std::next(deadline.begin(), static_cast<std::ptrdiff_t>(below(random, deadline.size())))->first;
        if (fixture.peers.answers.count(id) == 0) {
          abandoned[id] = true;
          fixture.dispatcher.abandon(id);
        }
      }
      fixture.advance(Millis(static_cast<double>(below(random, 40))));
      for (const auto& [id, at] : deadline) {
        if (fixture.now > at + Millis(16) && !abandoned[id]) CHECK(fixture.peers.answers[id].size() == 1);
      }
    }
    fixture.advance(Millis(3000));
    CHECK(fixture.dispatcher.open_calls() == 0);
    for (const auto& [id, at] : deadline) {
      const auto& answers = fixture.peers.answers[id];
      CHECK(answers.size() == (abandoned[id] ? 0U : 1U));
      if (once[id]) CHECK(may_have_run[id] <= 1);
      if (!answers.empty() && answers[0].status == core::CallStatus::refused) CHECK(may_have_run[id] == 0);
    }
    for (const auto& [attempt, o] : fixture.peers.attempts) CHECK_FALSE(o.open);
  }
}

TEST_CASE("an invalid call and a call with a reference in use are not taken") {
  core::Settings s = settings();
  s.tenants.push_back({"redgum-estate", 1, 100});
  s.kind_memory_mb["std-2c"] = 3456;
  DispatcherFixture fixture(1, s);
  const auto takes = [&](const auto& change) {
    core::Call c;
    c.ref = "r" + std::to_string(fixture.peers.answers.size() + fixture.refs++);
    c.class_name = "bin-check";
    c.tenant = "redgum-estate";
    c.memory_mb = 300;
    c.client_timeout = Millis(1000);
    change(c);
    return fixture.dispatcher.take(fixture.dispatcher.next_id(), std::move(c), fixture.peers);
  };
  CHECK(takes([](core::Call&) {}));
  CHECK(takes([](core::Call& c) { c.ref = "same"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.ref = "same"; }));
  fixture.advance(Millis(1100));  // the call has ended, but a host may still answer it
  CHECK_FALSE(takes([](core::Call& c) { c.ref = "same"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.class_name = "bin-chuck"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.tenant = "nobody"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.memory_mb = -1; }));
  CHECK_FALSE(takes([](core::Call& c) { c.memory_mb = 4000; }));
  CHECK_FALSE(takes([](core::Call& c) { c.memory_mb = std::nan(""); }));
  CHECK_FALSE(takes([](core::Call& c) { c.concurrency = 0; }));
  CHECK_FALSE(takes([](core::Call& c) { c.concurrency = 5000; }));
  CHECK_FALSE(takes([](core::Call& c) { c.client_timeout = Millis(0); }));
  CHECK_FALSE(takes([](core::Call& c) { c.client_timeout = Millis(1551); }));
  CHECK_FALSE(takes([](core::Call& c) { c.client_timeout = Millis(3600000); }));
  CHECK(takes([](core::Call& c) { c.tenant.clear(); }));
  CHECK(fixture.counters.value(core::Counter::calls_taken) == 3);
  CHECK(fixture.counters.value(core::Counter::calls_ref_repeated) == 2);
  CHECK(fixture.counters.value(core::Counter::calls_bad_figures) == 8);
}

// Regression: over sockets, a call with allow=2003 and a class deadline of 2,000 ms was answered FAILED. Time
// limits grow by 50 ms on sockets.
TEST_CASE("a call is taken if its client waits up to 50 ms longer than the deadline of its class") {
  DispatcherFixture fixture(1, settings());
  fixture.call("bin-check", "early", Millis(1503));
  fixture.call("bin-check", "earliest", Millis(1550));
  CHECK(fixture.counters.value(core::Counter::calls_bad_figures) == 0);
  CHECK(fixture.counters.value(core::Counter::calls_taken) == 2);
  CHECK(fixture.peers.attempts.size() == 2);
}

// Regression: with settings that name kinds of hosts without their memory, every call failed.
TEST_CASE("calls are taken if the memory of a kind of host is not stated") {
  core::Settings s = settings();
  s.kind_memory_mb["std"] = 0;
  DispatcherFixture fixture(1, s);
  const auto id = fixture.call("bin-check", "a");
  CHECK(fixture.counters.value(core::Counter::calls_bad_figures) == 0);
  CHECK(fixture.peers.attempts.size() == 1);
  CHECK(fixture.peers.attempts.begin()->first.call == id);
}

TEST_CASE("a call is answered by its deadline if there are no hosts") {
  DispatcherFixture fixture(0);
  const auto id = fixture.call("bin-record", "r");
  fixture.advance(Millis(1016));
  REQUIRE(fixture.peers.answers[id].size() == 1);
  CHECK(fixture.peers.answers[id][0].status == core::CallStatus::refused);
}

}  // namespace
}  // namespace pathstack::test

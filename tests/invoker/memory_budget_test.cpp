// The memory budget, and what happens to the work that it refuses.
#include "core/memory_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "hosts/line_parser.h"
#include "resp/parser.h"
#include "resp/refusal_pacer.h"
#include "resp/unwritten_answers.h"
#include "support/platform.h"
#include "triggers.h"

namespace pathstack::test {
namespace {

using core::MemoryBudget;
using core::MemoryOwner;

TEST_CASE("clients that hold much are refused before those that hold little") {
  MemoryBudget budget(8000, 10);  // 7,000 for work, 262 guaranteed to each client
  std::size_t used = 0;
  budget.track(MemoryOwner::calls, [&] { return used; });
  CHECK(budget.admits_work(0, 875));  // a quarter of what is free in the first half
  CHECK_FALSE(budget.admits_work(0, 876));
  CHECK_FALSE(budget.admits_work(800, 76));
  used = 3500;
  CHECK_FALSE(budget.admits_work(0, 263));
  CHECK(budget.admits_work(0, 262));
  CHECK_FALSE(budget.admits_work(200, 63));
  used = 6800;
  CHECK(budget.admits_work(0, 200));
  CHECK_FALSE(budget.admits_work(0, 201));
  CHECK(budget.admits_answer(0, 300));  // a quarter of what is free in all
  // What the work adds for others needs room, but counts in no client's share.
  CHECK(budget.admits_work(0, 100, 100));
  CHECK_FALSE(budget.admits_work(0, 100, 101));
  used = 0;
  CHECK(budget.admits_work(0, 262, 6000));
  CHECK_FALSE(budget.admits_work(0, 263, 6000));
  used = 9000;
  CHECK_FALSE(budget.admits_work(0, 1));
  CHECK_FALSE(budget.admits_answer(0, 1));
}

TEST_CASE("unwritten bytes are shown but not part of the sum") {
  MemoryBudget budget(8000, 1);
  budget.track(MemoryOwner::output, [] { return std::size_t{2048}; });
  budget.track(MemoryOwner::broker, [] { return std::size_t{1024}; });
  CHECK(budget.used() == 1024);
  CHECK(budget.statistics().at("now.memory.output_kb") == 2);
  CHECK(budget.statistics().at("now.memory.broker_kb") == 1);
}

TEST_CASE("a large word without memory is left out, and the stream goes on behind it") {
  std::size_t asked = 0;
  resp::Parser parser([&](std::size_t bytes) {
    asked += bytes;
    return false;
  });
  std::string text;
  resp::write_array(text, {"CALL", "1", "c", "f", std::string(5000, 'x')});
  resp::write_array(text, {"CALL", "2", "c", "f", std::string(1000, 'y')});
  std::vector<resp::Message> messages;
  for (const char c : text) {
    REQUIRE(parser.take(std::string_view(&c, 1), messages));
    CHECK(parser.buffered_bytes() == 0);
  }
  REQUIRE(messages.size() == 2);
  CHECK(messages[0].memory_refused);
  CHECK(messages[0].words == resp::Words{"CALL", "1", "c", "f", ""});
  CHECK_FALSE(messages[1].memory_refused);
  CHECK(messages[1].words.at(4).size() == 1000);
  CHECK(asked == 5000);
}

TEST_CASE("a host's body takes memory as it arrives, and parsing ends if memory is refused") {
  std::size_t limit = 4096;
  hosts::LineParser parser([&](std::size_t, std::size_t more) { return more <= limit; });
  std::vector<hosts::Reply> replies;
  REQUIRE(parser.take("a data - 1000000\r\n", replies));
  CHECK(parser.buffered_bytes() < 100);
  REQUIRE(parser.take(std::string(3000, 'x'), replies));
  CHECK(parser.buffered_bytes() >= 3000);
  CHECK_FALSE(parser.take(std::string(3000, 'x'), replies));
  CHECK(parser.memory_refused());
  CHECK(parser.buffered_bytes() == 0);
  CHECK(replies.empty());
}

TEST_CASE("a call without memory is answered BUSY at once, and its connection goes on") {
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  std::size_t others = 1U << 20;
  budget.track(MemoryOwner::broker, [&] { return others; });
  Client c(p.world, p.front.address());
  c.call("1", "bin-check", "x");
  c.call("2", "bin-check", std::string(16000, 'x'));
  for (const char* tag : {"1", "2"}) {
    REQUIRE(c.answer(tag) != nullptr);
    CHECK(c.answer(tag)->at(1) == "BUSY");
  }
  CHECK(p.world.counters.value(core::Counter::resp_no_memory) == 2);
  CHECK(p.world.host[0]->execs == 0);
  others = 0;
  c.call("3", "bin-check", std::string(16000, 'x'));
  REQUIRE(c.answer("3") != nullptr);
  CHECK(c.answer("3")->at(1) == "OK");
}

// Guards against a failure found in review: after 64 refusals for lack of memory, what a client sent on the
// connection was thrown away, cancels too.
TEST_CASE("a client stays served and may cancel however many of its calls found no memory") {
  constexpr int kRefusals = 200, kAtOnce = 25;
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  std::size_t others = 0;
  budget.track(MemoryOwner::broker, [&] { return others; });
  p.world.host[0]->react = [](const std::string& body) {
    return body == "silent" ? Reaction{Reaction::silence, ""} : Reaction();
  };
  Client c(p.world, p.front.address());
  c.call("1", "bin-record", "silent", 1400);
  c.call("2", "bin-record", "silent", 1400);
  REQUIRE(p.world.turn_until([&] { return p.world.host[0]->execs == 2; }, 20000));
  others = 1U << 20;
  const std::string body(GENERATE(1, 16000), 'x');
  for (int i = 0; i < kRefusals; ++i) {
    c.call(std::to_string(100 + i), "bin-check", body);
    const bool is_batch_complete = (i + 1) % kAtOnce == 0;
    if (is_batch_complete) REQUIRE(c.answer(std::to_string(100 + i)) != nullptr);
  }
  const auto is_refused = [](const resp::Words& reply) { return reply.at(1) == "BUSY"; };
  CHECK(std::count_if(c.replies.begin(), c.replies.end(), is_refused) == kRefusals);
  CHECK(p.world.counters.value(core::Counter::resp_no_memory) == kRefusals);
  c.send_command({"CANCEL", "1"});
  CHECK(p.world.turn_until([&] { return p.world.host[0]->cancels == 1; }, 20));
  others = 0;
  c.call("3", "bin-check", "x");
  REQUIRE(c.answer("3") != nullptr);
  CHECK(c.answer("3")->at(1) == "OK");
  CHECK_FALSE(c.closed);
  CHECK(p.world.counters.value(core::Counter::resp_faults_closed) == 0);
}

// Guards against clients that repeat a refused call at once: they left usual clients too little time.
TEST_CASE("a client that is refused too often has to wait, for a bounded time, and recovers") {
  using resp::RefusalPacer;
  RefusalPacer pacer;
  const Millis start(1000);
  for (int i = 0; i < static_cast<int>(RefusalPacer::kBurst); ++i) REQUIRE(pacer.note(start) == Millis(0));
  CHECK(pacer.note(start).count() == Approx(10));
  CHECK(pacer.note(start).count() == Approx(20));
  for (int i = 0; i < 100; ++i) CHECK(pacer.note(start) <= RefusalPacer::kMaxWait);
  CHECK(pacer.note(start) == RefusalPacer::kMaxWait);
  // One refusal in 20 ms is within the rate.
  Millis now = start + RefusalPacer::kMaxWait;
  for (int i = 0; i < 100; ++i) {
    now += Millis(20);
    CHECK(pacer.note(now) == Millis(0));
  }
}

// Guards against a close that is not noticed, and an attempt that goes on, while the input of its client
// waits.
TEST_CASE("a client that closes while its input waits is noticed at once") {
  constexpr int kRefusals = 96, kAtOnce = 24;
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  std::size_t others = 0;
  budget.track(MemoryOwner::broker, [&] { return others; });
  p.world.host[0]->react = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  Client c(p.world, p.front.address());
  c.call("1", "bin-record", "x", 1400);
  REQUIRE(p.world.turn_until([&] { return p.world.host[0]->execs == 1; }, 20000));
  others = 1U << 20;
  for (int i = 0; i < kRefusals; ++i) {
    c.call(std::to_string(100 + i), "bin-check", "x");
    const bool is_batch_complete = (i + 1) % kAtOnce == 0;
    if (is_batch_complete) REQUIRE(c.answer(std::to_string(100 + i)) != nullptr);
  }
  c.end_later();
  // Without time for the wait: turns that do not wait for timers.
  for (int i = 0; i < 3; ++i) p.world.loop.turn(p.world.loop.now(), [&] { p.world.dispatcher.tick(); });
  CHECK(p.world.dispatcher.open_calls() == 0);
}

// Guards against a client that does not read: its answers were noted without bound.
TEST_CASE("the number of unwritten answers that are noted is bounded") {
  resp::UnwrittenAnswers answers;
  for (std::uint64_t i = 1; i <= 1000; ++i) answers.add(std::to_string(i), i);
  CHECK(answers.size() == resp::UnwrittenAnswers::kMaxNoted);
  answers.remove_cancelled("1");
  answers.remove_written(10);
  CHECK(answers.size() == resp::UnwrittenAnswers::kMaxNoted - 10);
}

// Guards the bound on the work of a client that sends without limit while memory is short.
TEST_CASE("a client that sends more calls at once than may be open is disconnected, also without memory") {
  constexpr int kMaxOpen = 32, kMaxRejected = 64;
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  budget.track(MemoryOwner::broker, [] { return std::size_t{1} << 20; });
  Client c(p.world, p.front.address());
  c.send_command({"CHECK", "1"});
  REQUIRE(c.answer("1") != nullptr);
  for (int i = 0; i < kMaxOpen + kMaxRejected + 20; ++i) c.call(std::to_string(100 + i), "bin-check", "x");
  CHECK(p.world.turn_until([&] { return c.closed; }, 20000));
  CHECK(p.world.counters.value(core::Counter::resp_no_memory) == kMaxOpen);
  CHECK(p.world.counters.value(core::Counter::resp_too_many_open) == kMaxRejected + 1);
  CHECK(p.world.counters.value(core::Counter::resp_faults_closed) == 1);
}

// A call that was cancelled after its answer was queued is not open to its client any more.
TEST_CASE("a cancel makes room for a call although its answer is not written yet") {
  constexpr int kMaxOpen = 32;
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  budget.track(MemoryOwner::broker, [] { return std::size_t{1} << 20; });
  Client c(p.world, p.front.address());
  c.send_command({"CHECK", "1"});
  REQUIRE(c.answer("1") != nullptr);
  const auto tag_of = [](int i) { return std::to_string(100 + i); };
  // All are read in one turn, but in two reads, so that the cancels find most calls answered.
  const std::string body(600, 'x');
  for (int i = 0; i < kMaxOpen; ++i) c.call(tag_of(i), "bin-check", body);
  const bool cancels = GENERATE(true, false);
  for (int i = 0; cancels && i < kMaxOpen; ++i) c.send_command({"CANCEL", tag_of(i)});
  for (int i = 0; i < kMaxOpen; ++i) c.call(tag_of(kMaxOpen + i), "bin-check", "x");
  REQUIRE(c.answer(tag_of(2 * kMaxOpen - 1)) != nullptr);
  CHECK(p.world.counters.value(core::Counter::resp_too_many_open) == (cancels ? 0 : kMaxOpen));
}

// A client that sends two requests under one number must not be served, whichever of them lacks memory.
TEST_CASE("the tag of an open call ends the connection also for a request without memory") {
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  std::size_t others = 0;
  budget.track(MemoryOwner::broker, [&] { return others; });
  p.world.host[0]->react = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  Client c(p.world, p.front.address());
  c.call("1", "bin-check", "x");
  REQUIRE(p.world.turn_until([&] { return p.world.host[0]->execs == 1; }, 20000));
  others = 1U << 20;
  c.call("1", "bin-check", std::string(16000, 'y'));
  CHECK(p.world.turn_until([&] { return c.closed; }, 20000));
  CHECK(p.world.counters.value(core::Counter::resp_tag_repeated) == 1);
  CHECK(p.world.counters.value(core::Counter::calls_served) == 0);
}

TEST_CASE("what clients hold is released with their calls, requests and connections") {
  FrontFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front.set_memory_budget(budget);
  const std::size_t before = budget.used();
  p.world.host[0]->react = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  Client c(p.world, p.front.address());
  c.call("1", "bin-check", std::string(4000, 'x'));
  std::string half;
  resp::write_array(half, {"CALL", "2", "bin-check", "f", std::string(8000, 'x')});
  c.write(half.substr(0, half.size() - 9));
  REQUIRE(p.world.turn_until([&] { return p.front.has_partial_request(); }, 20000));
  CHECK(budget.used() >= before + 12000);
  c.end_later();
  CHECK(p.world.turn_until([&] { return budget.used() == before; }, 20000));
}

TEST_CASE("a call from the broker without memory is refused at once") {
  AmqpFixture p(1);
  MemoryBudget budget(1U << 20, 4);
  p.front->set_memory_budget(budget);
  std::size_t others = 1U << 20;
  budget.track(MemoryOwner::calls, [&] { return others; });
  p.broker.send("m1", "bin-check", "x");
  REQUIRE(p.run_until_answered("m1"));
  CHECK(p.world.counters.value(core::Counter::amqp_no_memory) == 1);
  CHECK(p.world.host[0]->execs == 0);
}

}  // namespace
}  // namespace pathstack::test

/// Tests of the rules for a call's attempts, which hold whatever the decision module decides.
#include "core/open_call.h"

#include <catch2/catch.hpp>

#include "support/call.h"

namespace pathstack::test {
namespace {

using core::Millis;
using core::Outcome;

constexpr int kMaxAttempts = 2;

struct SilentFront final : core::Front {
  void answer(core::CallId, core::Answer&&) override {}
};

struct OpenCallFixture {
  SilentFront front;
  core::OpenCall once{call_of("000000000000000a", Millis(1000), Millis(300)), front, true};
  core::OpenCall repeatable{call_of("000000000000000b"), front, false};

  static void run_attempt(core::OpenCall& call, Outcome outcome) {
    call.open_attempt({{1, call.take_attempt_number()}, "h0", Millis(0)});
    call.close_attempt(outcome);
  }
};

TEST_CASE_METHOD(OpenCallFixture, "no attempt is sent while another one is open") {
  REQUIRE(repeatable.may_send(0, kMaxAttempts));
  repeatable.open_attempt({{1, repeatable.take_attempt_number()}, "h0", Millis(7)});
  CHECK_FALSE(repeatable.may_send(1, kMaxAttempts));
  const core::OpenAttempt closed = repeatable.close_attempt(Outcome::full);
  CHECK(closed.host == "h0");
  CHECK(closed.sent_at == Millis(7));
  CHECK_FALSE(repeatable.attempt().has_value());
  CHECK(repeatable.may_send(1, kMaxAttempts));
}

TEST_CASE_METHOD(OpenCallFixture, "a call that must run once is not sent again once it may have run") {
  run_attempt(once, Outcome::full);
  CHECK_FALSE(once.may_have_run());
  CHECK(once.may_send(1, kMaxAttempts));
  const Outcome may_have_run = GENERATE(Outcome::timeout, Outcome::reset, Outcome::error);
  run_attempt(once, may_have_run);
  run_attempt(repeatable, may_have_run);
  CHECK(once.may_have_run());
  CHECK_FALSE(once.may_send(1, kMaxAttempts));
  CHECK(repeatable.may_send(1, kMaxAttempts));
}

TEST_CASE_METHOD(OpenCallFixture,
                 "attempts that a local fault kept from being sent do not count against the limit") {
  run_attempt(once, Outcome::full);
  run_attempt(once, Outcome::not_sent);
  CHECK(once.may_send(2, kMaxAttempts));
  run_attempt(once, Outcome::full);
  CHECK_FALSE(once.may_send(3, kMaxAttempts));
}

TEST_CASE_METHOD(OpenCallFixture, "the remaining time of a client is measured from the arrival of its call") {
  CHECK(once.time_left(Millis(1100)) == Millis(200));
  CHECK(once.time_left(Millis(1400)) == Millis(-100));
}

}  // namespace
}  // namespace pathstack::test

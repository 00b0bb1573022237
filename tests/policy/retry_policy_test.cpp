#include "policy/retry_policy.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

constexpr int kRepeatable = 0;
constexpr int kKeyed = 1;
constexpr int kOnce = 2;

class RetryPolicyTest {
 protected:
  Request& request_after_attempt(int class_index, Outcome outcome) {
    Function& function = parts.add_function(static_cast<std::uint64_t>(class_index) + 1, class_index);
    Request& request = parts.add_request("x" + std::to_string(class_index), function);
    parts.requests.dequeue(request);
    parts.requests.start_attempt(request, worker, parts.now);
    parts.requests.end_attempt(request, 0, outcome);
    return request;
  }

  Parts parts;
  WorkerIndex worker = parts.add_worker(entry("a"));
};

TEST_CASE_METHOD(RetryPolicyTest,
                 "RetryPolicy: a request that may have run is repeated as its semantics allow",
                 "[retry-policy]") {
  CHECK(parts.retries.may_send(request_after_attempt(kRepeatable, Outcome::error), worker, parts.now));
  CHECK(parts.retries.may_send(request_after_attempt(kKeyed, Outcome::error), worker, parts.now));
  CHECK_FALSE(parts.retries.may_send(request_after_attempt(kOnce, Outcome::error), worker, parts.now));
}

TEST_CASE_METHOD(RetryPolicyTest, "RetryPolicy: a request that never ran may always be sent again",
                 "[retry-policy]") {
  CHECK(parts.retries.may_send(request_after_attempt(kOnce, Outcome::full), worker, parts.now));
  CHECK(parts.retries.may_send(request_after_attempt(kKeyed, Outcome::not_sent), worker, parts.now));
}

TEST_CASE_METHOD(RetryPolicyTest, "RetryPolicy: an idempotency key is valid within its window and scope",
                 "[retry-policy]") {
  Request& request = request_after_attempt(kKeyed, Outcome::error);
  const Millis window = parts.settings.classes[kKeyed].key_window;
  CHECK(parts.retries.may_repeat(request, nullptr, parts.now + window - parts.settings.tick));
  CHECK_FALSE(parts.retries.may_repeat(request, nullptr, parts.now + window));
  parts.settings.classes[kKeyed].scope = KeyScope::zone;
  Worker elsewhere = parts.workers[worker];
  CHECK(parts.retries.may_repeat(request, &elsewhere, parts.now));
  elsewhere.zone = "z2";
  CHECK_FALSE(parts.retries.may_repeat(request, &elsewhere, parts.now));
  UNSCOPED_INFO("a refused client may reach any worker");
  CHECK_FALSE(parts.retries.may_repeat(request, nullptr, parts.now));
}

TEST_CASE_METHOD(RetryPolicyTest, "RetryPolicy: attempts are limited and attempts not sent do not count",
                 "[retry-policy]") {
  parts.settings.max_attempts = 1;
  CHECK_FALSE(parts.retries.may_send(request_after_attempt(kRepeatable, Outcome::error), worker, parts.now));
  CHECK(parts.retries.may_send(request_after_attempt(kKeyed, Outcome::not_sent), worker, parts.now));
}

TEST_CASE_METHOD(RetryPolicyTest, "RetryPolicy: a retry is queued at the front", "[retry-policy]") {
  Request& request = request_after_attempt(kRepeatable, Outcome::error);
  Request& other = parts.add_request("y", *request.function);
  parts.retries.retry_or_give_up(request, parts.now);
  CHECK(request.function->queue == (std::vector<std::uint64_t>{request.serial, other.serial}));
}

TEST_CASE_METHOD(RetryPolicyTest,
                 "RetryPolicy: giving up refuses requests that may run again and fails the others",
                 "[retry-policy]") {
  parts.retries.give_up(request_after_attempt(kRepeatable, Outcome::error), parts.now);
  parts.retries.give_up(request_after_attempt(kOnce, Outcome::error), parts.now);
  CHECK(parts.emitted_actions<action::Refuse>().size() == 1U);
  CHECK(parts.emitted_actions<action::Fail>().size() == 1U);
  CHECK(parts.retries.given_up_after_attempt() == 2);
  CHECK(parts.requests.all().empty());
}

TEST_CASE_METHOD(RetryPolicyTest, "RetryPolicy: a client's retry has the objective of its first attempt",
                 "[retry-policy]") {
  const auto objective_in = [&](double time_left) {
    return (parts.retries.objective_at(kRepeatable, Millis(time_left), parts.now) - parts.now).count();
  };
  CHECK(objective_in(4000) == 1000);
  CHECK(objective_in(4000) == 1000);
  UNSCOPED_INFO("the first attempt was 500 ms ago");
  CHECK(objective_in(3500) == 500);
  CHECK(objective_in(4000) == 1000);
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/request_table.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class RequestTableTest {
 protected:
  Parts parts;
  RequestTable& table = parts.requests;
  Function& function = parts.add_function(1);
  Request& request = parts.add_request("x", function);
};

TEST_CASE_METHOD(RequestTableTest,
                 "RequestTable: a request is found by id and by serial until it is finished",
                 "[request-table]") {
  const std::uint64_t serial = request.serial;
  CHECK(table.find("x") == &request);
  CHECK(table.find(serial) == &request);
  CHECK(function.queue.size() == 1U);
  table.finish(request);
  CHECK(table.find("x") == nullptr);
  CHECK(table.find(serial) == nullptr);
  CHECK(function.queue.empty());
}

TEST_CASE_METHOD(RequestTableTest,
                 "RequestTable: a request outlives its final answer while an attempt is in flight",
                 "[request-table]") {
  table.start_attempt(request, 0, parts.now);
  table.finish(request);
  REQUIRE(table.find("x") == &request);
  CHECK(request.done);
  REQUIRE(table.end_attempt(request, 0, Outcome::cancelled) != nullptr);
  table.finish(request);
  CHECK(table.find("x") == nullptr);
}

TEST_CASE_METHOD(RequestTableTest, "RequestTable: an attempt has one outcome", "[request-table]") {
  table.start_attempt(request, 3, parts.now);
  CHECK(request.has_attempt_in_flight());
  const Attempt* ended = table.end_attempt(request, 0, Outcome::reset);
  REQUIRE(ended != nullptr);
  CHECK(ended->worker == 3U);
  CHECK(ended->state == AttemptState::may_have_run);
  CHECK_FALSE(request.has_attempt_in_flight());
  CHECK(table.end_attempt(request, 0, Outcome::ok) == nullptr);
  CHECK(table.end_attempt(request, 1, Outcome::ok) == nullptr);
  CHECK(table.end_attempt(request, -1, Outcome::ok) == nullptr);
}

TEST_CASE_METHOD(RequestTableTest, "RequestTable: the outcome determines whether an attempt may have run",
                 "[request-table]") {
  const std::vector<std::pair<Outcome, AttemptState>> states = {
      {Outcome::not_sent, AttemptState::not_sent},        {Outcome::full, AttemptState::never_ran},
      {Outcome::connect_failed, AttemptState::never_ran}, {Outcome::miss, AttemptState::never_ran},
      {Outcome::unreachable, AttemptState::may_have_run}, {Outcome::error, AttemptState::may_have_run}};
  for (const auto& [outcome, state] : states) {
    table.start_attempt(request, 0, parts.now);
    const int number = static_cast<int>(request.attempts.size()) - 1;
    CHECK(table.end_attempt(request, number, outcome)->state == state);
  }
  UNSCOPED_INFO("one attempt was not sent");
  CHECK(request.attempts_sent() == 5);
}

}  // namespace
}  // namespace pathstack::policy::test

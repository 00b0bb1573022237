#include "policy/outcome_recorder.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class OutcomeRecorderTest {
 protected:
  /// Creates a request and an attempt of it in flight at the worker.
  Request& send() {
    Request& request = parts.add_request("r" + std::to_string(++requests), function);
    parts.requests.dequeue(request);
    Instance& instance = function.instance_at(worker);
    Attempt& attempt = parts.requests.start_attempt(request, worker, parts.now);
    attempt.confirmed = instance.confirmed;
    attempt.only_in_flight = instance.in_flight == 0;
    parts.workers.attempt_started(worker, attempt.confirmed, parts.now);
    ++instance.in_flight;
    return request;
  }
  void end(Request& request, Outcome outcome, double elapsed, Warmth warmth = Warmth::warm) {
    event::AttemptEnded answer;
    answer.outcome = outcome;
    answer.elapsed = Millis(elapsed);
    answer.warmth = warmth;
    const Attempt* attempt = parts.requests.end_attempt(request, 0, outcome);
    REQUIRE(attempt != nullptr);
    recorder.record_attempt(request, *attempt, answer, parts.now);
  }

  Parts parts;
  LoadOrderBudget order_budget{parts.settings};
  OutcomeRecorder recorder{parts.settings, parts.workers,  parts.lease,      parts.functions, parts.requests,
                           parts.times,    parts.outliers, parts.slow_start, parts.reports,   parts.limits,
                           order_budget,   parts.retries,  parts.actions};
  WorkerIndex worker = parts.add_worker(entry("a"));
  Function& function = parts.add_function(1);
  int requests = 0;
};

TEST_CASE_METHOD(OutcomeRecorderTest, "OutcomeRecorder: the answer of a loaded instance is recorded as a run",
                 "[outcome-recorder]") {
  end(send(), Outcome::ok, 100);
  CHECK(parts.times.run(function.times) == 100);
  CHECK(parts.times.load(function.times) == 0);
  CHECK(function.find_instance(worker)->confirmed);
  CHECK(function.find_instance(worker)->in_flight == 0);
  CHECK(parts.workers[worker].in_flight == 0);
}

TEST_CASE_METHOD(OutcomeRecorderTest, "OutcomeRecorder: an answer that started a load is recorded as a load",
                 "[outcome-recorder]") {
  end(send(), Outcome::ok, 100);
  end(send(), Outcome::ok, 700, Warmth::started_load);
  CHECK(parts.times.run(function.times) == 100);
  CHECK(parts.times.load(function.times) == 600);
}

TEST_CASE_METHOD(OutcomeRecorderTest,
                 "OutcomeRecorder: a long answer implies a load if answers do not report warmth",
                 "[outcome-recorder]") {
  end(send(), Outcome::ok, 100);
  end(send(), Outcome::ok, 401, Warmth::unknown);
  CHECK(parts.times.run(function.times) == 100);
  end(send(), Outcome::ok, 399, Warmth::unknown);
  CHECK(parts.times.run(function.times) > 100);
}

TEST_CASE_METHOD(OutcomeRecorderTest, "OutcomeRecorder: a miss shows that the worker has no instance loaded",
                 "[outcome-recorder]") {
  end(send(), Outcome::ok, 100);
  end(send(), Outcome::miss, 1);
  CHECK(function.find_instance(worker)->loaded == 0);
  CHECK(function.last_attempt_missed);
}

TEST_CASE_METHOD(OutcomeRecorderTest,
                 "OutcomeRecorder: an attempt unanswered for too long counts as one failure",
                 "[outcome-recorder]") {
  end(send(), Outcome::ok, 100);
  Request& lost = send();
  parts.now += Millis(601);
  recorder.handle_unanswered(parts.now);
  CHECK(lost.attempts[0].presumed_lost);
  UNSCOPED_INFO("the worker is silent, so it is ejected");
  CHECK_FALSE(parts.outliers.is_usable(worker, parts.now));
  end(lost, Outcome::timeout, 4000);
  UNSCOPED_INFO("one failure, not two");
  CHECK(parts.outliers.serves_class(worker, 0, parts.now));
}

TEST_CASE_METHOD(OutcomeRecorderTest,
                 "OutcomeRecorder: an unanswered attempt is cancelled if the request may run again",
                 "[outcome-recorder]") {
  parts.settings.cancel = true;
  end(send(), Outcome::ok, 100);
  const Request& lost = send();
  recorder.handle_unanswered(parts.now + Millis(601));
  const auto cancels = parts.emitted_actions<action::Cancel>();
  REQUIRE(cancels.size() == 1U);
  CHECK(cancels[0].id == lost.id);
}

TEST_CASE_METHOD(OutcomeRecorderTest, "OutcomeRecorder: a failed load order is not repeated at once",
                 "[outcome-recorder]") {
  parts.functions.begin_load(function.instance_at(worker), parts.now);
  recorder.record_order(function, worker, {"a", 1, Outcome::error, Millis(5), 0}, parts.now);
  CHECK(parts.functions.loads_in_flight() == 0);
  CHECK(function.no_order_before > parts.now);
  CHECK(function.instance_at(worker).loaded == 0);
}

TEST_CASE_METHOD(OutcomeRecorderTest,
                 "OutcomeRecorder: an answered load order is recorded as a load and confirms the instance",
                 "[outcome-recorder]") {
  parts.functions.begin_load(function.instance_at(worker), parts.now);
  recorder.record_order(function, worker, {"a", 1, Outcome::ok, Millis(450), 1}, parts.now);
  CHECK(parts.times.load(function.times) == 450);
  CHECK(parts.functions.is_warm(function.instance_at(worker), parts.now));
  CHECK(function.instance_at(worker).confirmed);
}

TEST_CASE_METHOD(OutcomeRecorderTest,
                 "OutcomeRecorder: an attempt that was not sent undoes the assumption of a loaded instance",
                 "[outcome-recorder]") {
  Request& request = send();
  function.find_instance(worker)->loaded = 1;  // assumed for this attempt only
  end(request, Outcome::not_sent, 0);
  CHECK(function.find_instance(worker)->loaded == 0);
  CHECK(parts.outliers.is_usable(worker, parts.now));
  CHECK(parts.limits.is_backing_off(worker, parts.now));
  CHECK(parts.times.run(function.times) == 0);
}

}  // namespace
}  // namespace pathstack::policy::test

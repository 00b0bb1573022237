#include "policy/admission.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

class AdmissionTest {
 protected:
  AdmissionTest() {
    for (int i = 0; i < 10; ++i) parts.times.record_run(function.times, 0, 100);
  }
  void slow_down(double slowdown) {
    for (int i = 0; i < 200; ++i) parts.limits.record_slowdown(worker, slowdown, parts.now);
  }

  Parts parts;
  WorkerIndex worker = parts.add_worker(entry("a"));
  Function& function = parts.add_function(1);
  Request& request = parts.add_request("x", function);
};

TEST_CASE_METHOD(AdmissionTest, "Admission: a request must have enough time left for a run", "[admission]") {
  CHECK(parts.admission.can_meet_objective(request, request.objective_at - Millis(100)));
  CHECK_FALSE(parts.admission.can_meet_objective(request, request.objective_at - Millis(99)));
  CHECK_FALSE(parts.admission.is_worth_queueing(request, request.objective_at));
}

TEST_CASE_METHOD(AdmissionTest, "Admission: requests wait in a class where late answers keep their value",
                 "[admission]") {
  parts.settings.classes[0].late_value = 0.5;
  CHECK(parts.admission.is_worth_queueing(request, request.objective_at));
}

TEST_CASE_METHOD(AdmissionTest, "Admission: a slowdown within normal variation holds no request back",
                 "[admission]") {
  slow_down(1.9);
  CHECK(parts.admission.is_worth_sending(request, worker, request.objective_at));
}

TEST_CASE_METHOD(AdmissionTest, "Admission: a lower priority weight accepts only a shorter wait",
                 "[admission]") {
  parts.settings.classes[0].value = 1;
  parts.settings.classes[1].value = 16;
  parts.settings.value_per_work = true;
  Function& priority_function = parts.add_function(2, 1);
  for (int i = 0; i < 10; ++i) parts.times.record_run(priority_function.times, 1, 100);
  Request& priority_request = parts.add_request("y", priority_function);
  slow_down(6);  // a wait of 400 ms; a quarter of the objective is 250 ms
  CHECK_FALSE(parts.admission.is_worth_sending(request, worker, parts.now));
  CHECK(parts.admission.is_worth_sending(priority_request, worker, parts.now));
}

TEST_CASE_METHOD(AdmissionTest, "Admission: the next request is the first one that can meet its objective",
                 "[admission]") {
  Request& late = request;
  Request& in_time = parts.add_request("y", function, 8000, 5000);
  CHECK(parts.admission.next_in_queue(function, parts.now) == &late);
  CHECK(parts.admission.next_in_queue(function, late.objective_at) == &in_time);
  in_time.not_before = Millis(1e9);
  CHECK(parts.admission.next_in_queue(function, late.objective_at) == &late);
  parts.requests.dequeue(late);
  parts.requests.dequeue(in_time);
  CHECK(parts.admission.next_in_queue(function, parts.now) == nullptr);
}

}  // namespace
}  // namespace pathstack::policy::test

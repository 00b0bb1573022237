#include "policy/outlier_detector.h"

#include <catch2/catch.hpp>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

Settings with_probes() {
  Settings settings = test::settings();
  settings.probes = true;
  return settings;
}

TEST_CASE("OutlierDetector: two failures of a class eject only that class", "[outlier-detector]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.record_failure(worker, 0, parts.now);
  CHECK(parts.outliers.serves_class(worker, 0, parts.now));
  parts.outliers.record_failure(worker, 0, parts.now);
  CHECK_FALSE(parts.outliers.serves_class(worker, 0, parts.now));
  CHECK(parts.outliers.serves_class(worker, 1, parts.now));
  CHECK(parts.outliers.is_usable(worker, parts.now));
}

TEST_CASE("OutlierDetector: an ejected class is half-open afterwards, and a relapse doubles the ejection",
          "[outlier-detector]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.record_failure(worker, 0, parts.now);
  parts.outliers.record_failure(worker, 0, parts.now);
  parts.now += Millis(1000);
  CHECK(parts.outliers.serves_class(worker, 0, parts.now));
  parts.workers.attempt_started(worker, true, parts.now);
  UNSCOPED_INFO("one attempt at a time");
  CHECK_FALSE(parts.outliers.serves_class(worker, 0, parts.now));
  parts.workers.attempt_ended(worker, true);
  parts.outliers.record_failure(worker, 0, parts.now);
  CHECK_FALSE(parts.outliers.serves_class(worker, 0, parts.now + Millis(1999)));
  parts.now += Millis(2000);
  CHECK(parts.outliers.serves_class(worker, 0, parts.now));
  parts.outliers.record_success(worker, 0, parts.now);
  parts.workers.attempt_started(worker, true, parts.now);
  UNSCOPED_INFO("closed again");
  CHECK(parts.outliers.serves_class(worker, 0, parts.now));
}

TEST_CASE("OutlierDetector: a worker that sends no answer is silent, with extra time for loads",
          "[outlier-detector]") {
  Settings settings = test::settings();
  settings.invokers = 100;
  Parts parts(settings);
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.workers.attempt_started(worker, false, parts.now);
  parts.now += Millis(1000);
  UNSCOPED_INFO("all attempts in flight may be waiting for a load");
  CHECK_FALSE(parts.outliers.is_silent(worker, parts.now));
  parts.workers.attempt_started(worker, true, parts.now);
  CHECK(parts.outliers.is_silent(worker, parts.now));
  CHECK_FALSE(parts.outliers.is_usable(worker, parts.now));
  parts.workers.record_activity(worker, parts.now);
  CHECK_FALSE(parts.outliers.is_silent(worker, parts.now));
}

TEST_CASE("OutlierDetector: a worker is suspect after a broken connection until it answers a probe",
          "[outlier-detector]") {
  Parts parts(with_probes());
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.connection_failed(worker, true, parts.now);
  parts.outliers.connection_failed(worker, true, parts.now);
  CHECK(parts.emitted_actions<action::Probe>().size() == 1U);
  CHECK_FALSE(parts.outliers.is_usable(worker, parts.now));
  parts.outliers.probe_answered(worker);
  CHECK(parts.outliers.is_usable(worker, parts.now));
  CHECK_FALSE(parts.outliers.is_down(worker));
}

TEST_CASE("OutlierDetector: three lost probes mark a worker down and its instances as gone",
          "[outlier-detector]") {
  Parts parts(with_probes());
  const WorkerIndex worker = parts.add_worker(entry("a"));
  Instance& instance = parts.add_function(1).instance_at(worker);
  instance.loaded = 1;
  parts.outliers.connection_failed(worker, true, parts.now);
  for (int lost = 1; lost <= 3; ++lost) {
    CHECK_FALSE(parts.outliers.is_down(worker));
    parts.outliers.probe_failed(worker, Outcome::reset, parts.now);
  }
  CHECK(parts.outliers.is_down(worker));
  CHECK(instance.loaded == 0);
  CHECK(parts.emitted_actions<action::Probe>().size() == 3U);
  UNSCOPED_INFO("the worker is back with a new process");
  CHECK(parts.outliers.note_alive(worker, parts.now));
  CHECK_FALSE(parts.outliers.note_alive(worker, parts.now));
}

TEST_CASE("OutlierDetector: peers are notified of a lost worker once", "[outlier-detector]") {
  Settings settings = test::settings();
  settings.peer_messages = true;
  settings.invokers = 2;
  Parts parts(settings);
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.connection_failed(worker, true, parts.now);
  parts.outliers.connection_failed(worker, true, parts.now);
  CHECK(parts.emitted_actions<action::SendPeerMessage>().size() == 1U);
}

TEST_CASE("OutlierDetector: a recent answer takes precedence over a peer's report", "[outlier-detector]") {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.note_alive(worker, parts.now);
  parts.outliers.peer_reported_down(worker, parts.now + Millis(500));
  CHECK_FALSE(parts.outliers.is_down(worker));
  parts.outliers.peer_reported_down(worker, parts.now + Millis(1500));
  CHECK(parts.outliers.is_down(worker));
}

}  // namespace
}  // namespace pathstack::policy::test

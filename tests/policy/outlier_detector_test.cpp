#include "policy/outlier_detector.h"

#include <gtest/gtest.h>

#include "parts.h"

namespace pathstack::policy::test {
namespace {

Settings with_probes() {
  Settings settings = test::settings();
  settings.probes = true;
  return settings;
}

TEST(OutlierDetector, TwoFailuresOfAClassEjectItAlone) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.record_failure(worker, 0, parts.now);
  EXPECT_TRUE(parts.outliers.serves_class(worker, 0, parts.now));
  parts.outliers.record_failure(worker, 0, parts.now);
  EXPECT_FALSE(parts.outliers.serves_class(worker, 0, parts.now));
  EXPECT_TRUE(parts.outliers.serves_class(worker, 1, parts.now));
  EXPECT_TRUE(parts.outliers.is_usable(worker, parts.now));
}

TEST(OutlierDetector, AfterAnEjectionTheClassIsHalfOpenAndARelapseLastsTwiceAsLong) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.record_failure(worker, 0, parts.now);
  parts.outliers.record_failure(worker, 0, parts.now);
  parts.now += Millis(1000);
  EXPECT_TRUE(parts.outliers.serves_class(worker, 0, parts.now));
  parts.workers.attempt_started(worker, true, parts.now);
  EXPECT_FALSE(parts.outliers.serves_class(worker, 0, parts.now)) << "one attempt at a time";
  parts.workers.attempt_ended(worker, true);
  parts.outliers.record_failure(worker, 0, parts.now);
  EXPECT_FALSE(parts.outliers.serves_class(worker, 0, parts.now + Millis(1999)));
  parts.now += Millis(2000);
  EXPECT_TRUE(parts.outliers.serves_class(worker, 0, parts.now));
  parts.outliers.record_success(worker, 0, parts.now);
  parts.workers.attempt_started(worker, true, parts.now);
  EXPECT_TRUE(parts.outliers.serves_class(worker, 0, parts.now)) << "closed again";
}

TEST(OutlierDetector, AWorkerThatAnswersNothingIsSilentAndLoadsAreAllowedFor) {
  Settings settings = test::settings();
  settings.routers = 100;
  Parts parts(settings);
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.workers.attempt_started(worker, false, parts.now);
  parts.now += Millis(1000);
  EXPECT_FALSE(parts.outliers.is_silent(worker, parts.now)) << "all in flight may wait for a load";
  parts.workers.attempt_started(worker, true, parts.now);
  EXPECT_TRUE(parts.outliers.is_silent(worker, parts.now));
  EXPECT_FALSE(parts.outliers.is_usable(worker, parts.now));
  parts.workers.heard_from(worker, parts.now);
  EXPECT_FALSE(parts.outliers.is_silent(worker, parts.now));
}

TEST(OutlierDetector, ABrokenConnectionMakesItsWorkerSuspectUntilAProbeIsAnswered) {
  Parts parts(with_probes());
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.connection_failed(worker, true, parts.now);
  parts.outliers.connection_failed(worker, true, parts.now);
  EXPECT_EQ(parts.emitted_of<action::Probe>().size(), 1U);
  EXPECT_FALSE(parts.outliers.is_usable(worker, parts.now));
  parts.outliers.probe_answered(worker);
  EXPECT_TRUE(parts.outliers.is_usable(worker, parts.now));
  EXPECT_FALSE(parts.outliers.is_down(worker));
}

TEST(OutlierDetector, ThreeLostProbesMarkAWorkerDownAndItsInstancesGone) {
  Parts parts(with_probes());
  const WorkerIndex worker = parts.add_worker(entry("a"));
  Instance& instance = parts.add_function(1).instance_at(worker);
  instance.loaded = 1;
  parts.outliers.connection_failed(worker, true, parts.now);
  for (int lost = 1; lost <= 3; ++lost) {
    EXPECT_FALSE(parts.outliers.is_down(worker));
    parts.outliers.probe_failed(worker, Outcome::reset, parts.now);
  }
  EXPECT_TRUE(parts.outliers.is_down(worker));
  EXPECT_EQ(instance.loaded, 0);
  EXPECT_EQ(parts.emitted_of<action::Probe>().size(), 3U);
  EXPECT_TRUE(parts.outliers.note_alive(worker, parts.now)) << "it is back, as another process";
  EXPECT_FALSE(parts.outliers.note_alive(worker, parts.now));
}

TEST(OutlierDetector, PeersAreNotifiedOnceOfALoss) {
  Settings settings = test::settings();
  settings.peers = true;
  settings.routers = 2;
  Parts parts(settings);
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.connection_failed(worker, true, parts.now);
  parts.outliers.connection_failed(worker, true, parts.now);
  EXPECT_EQ(parts.emitted_of<action::Tell>().size(), 1U);
}

TEST(OutlierDetector, APeersWordDoesNotOutweighAnAnswerOfAMomentAgo) {
  Parts parts;
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.outliers.note_alive(worker, parts.now);
  parts.outliers.peer_reported_down(worker, parts.now + Millis(500));
  EXPECT_FALSE(parts.outliers.is_down(worker));
  parts.outliers.peer_reported_down(worker, parts.now + Millis(1500));
  EXPECT_TRUE(parts.outliers.is_down(worker));
}

}  // namespace
}  // namespace pathstack::policy::test

#include "policy/load_reports.h"

#include <gtest/gtest.h>

#include "parts.h"
#include "policy/gossip.h"

namespace pathstack::policy::test {
namespace {

Settings with_peers() {
  Settings settings = test::settings();
  settings.routers = 2;
  settings.peers = true;
  settings.report_fields = {ReportField::inflight};
  return settings;
}

TEST(LoadReports, AQueueIsBetterThanWhatIsInFlight) {
  Settings settings = test::settings();
  settings.report_fields = {ReportField::queue, ReportField::inflight};
  Parts parts(settings);
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.reports.record(worker, std::vector<double>{3, 50}, parts.now);
  EXPECT_EQ(parts.reports.waiting(worker), 3);
  EXPECT_EQ(parts.reports.reported_at(worker), parts.now);
}

TEST(LoadReports, OfWhatIsInFlightSomeAreInService) {
  Parts parts(with_peers());
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.reports.record(worker, std::vector<double>{10, 99}, parts.now);
  EXPECT_EQ(parts.reports.waiting(worker), 6);
  parts.reports.record(worker, std::vector<double>{1}, parts.now);
  EXPECT_EQ(parts.reports.waiting(worker), 0);
  parts.reports.record(worker, std::nullopt, parts.now + Millis(5));
  EXPECT_EQ(parts.reports.reported_at(worker), parts.now);
}

TEST(LoadReports, OnesOwnArePassedOnAndThoseOfPeersAreNot) {
  Parts parts(with_peers());
  const WorkerIndex own = parts.add_worker(entry("a"));
  const WorkerIndex received = parts.add_worker(entry("b"));
  parts.reports.record(own, std::vector<double>{10}, parts.now);
  parts.reports.record_gossip(received, 5, parts.now);
  parts.reports.exchange(parts.now);
  parts.reports.exchange(parts.now + Millis(2000));
  const auto messages = parts.emitted_of<action::Tell>();
  ASSERT_EQ(messages.size(), 1U);
  const auto records = parse_gossip(messages[0].text);
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[1].tag, worker_tag(parts.workers[own].hash));
  EXPECT_EQ(records[1].value, 6);
}

TEST(LoadReports, ABusyInvokerCountsItsShare) {
  Parts parts(with_peers());
  EXPECT_EQ(parts.reports.own_share(parts.now), 1);
  parts.reports.record_peer_calls(10);
  for (int i = 0; i < 20; ++i) parts.reports.request_arrived(parts.now);
  EXPECT_DOUBLE_EQ(parts.reports.own_share(parts.now), 2);
  EXPECT_DOUBLE_EQ(parts.reports.own_share(parts.now + Millis(1e6)), 0.1);
}

}  // namespace
}  // namespace pathstack::policy::test

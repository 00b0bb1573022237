#include "policy/load_reports.h"

#include <catch2/catch.hpp>

#include "parts.h"
#include "policy/gossip.h"

namespace pathstack::policy::test {
namespace {

Settings with_peers() {
  Settings settings = test::settings();
  settings.invokers = 2;
  settings.peer_messages = true;
  settings.report_fields = {ReportField::inflight};
  return settings;
}

TEST_CASE("LoadReports: the queue length is preferred to the number in flight", "[load-reports]") {
  Settings settings = test::settings();
  settings.report_fields = {ReportField::queue, ReportField::inflight};
  Parts parts(settings);
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.reports.record(worker, std::vector<double>{3, 50}, parts.now);
  CHECK(parts.reports.waiting(worker) == 3);
  CHECK(parts.reports.reported_at(worker) == parts.now);
}

TEST_CASE("LoadReports: requests in service are subtracted from those in flight", "[load-reports]") {
  Parts parts(with_peers());
  const WorkerIndex worker = parts.add_worker(entry("a"));
  parts.reports.record(worker, std::vector<double>{10, 99}, parts.now);
  CHECK(parts.reports.waiting(worker) == 6);
  parts.reports.record(worker, std::vector<double>{1}, parts.now);
  CHECK(parts.reports.waiting(worker) == 0);
  parts.reports.record(worker, std::nullopt, parts.now + Millis(5));
  CHECK(parts.reports.reported_at(worker) == parts.now);
}

TEST_CASE("LoadReports: own reports are sent to peers, received ones are not", "[load-reports]") {
  Parts parts(with_peers());
  const WorkerIndex own = parts.add_worker(entry("a"));
  const WorkerIndex received = parts.add_worker(entry("b"));
  parts.reports.record(own, std::vector<double>{10}, parts.now);
  parts.reports.record_gossip(received, 5, parts.now);
  parts.reports.exchange(parts.now);
  parts.reports.exchange(parts.now + Millis(2000));
  const auto messages = parts.emitted_actions<action::SendPeerMessage>();
  REQUIRE(messages.size() == 1U);
  const auto records = parse_gossip(messages[0].text);
  REQUIRE(records.size() == 2U);
  CHECK(records[1].tag == worker_tag(parts.workers[own].hash));
  CHECK(records[1].value == 6);
}

TEST_CASE("LoadReports: the relative demand of a busy invoker is above 1", "[load-reports]") {
  Parts parts(with_peers());
  CHECK(parts.reports.relative_demand(parts.now) == 1);
  parts.reports.record_peer_requests(10);
  for (int i = 0; i < 20; ++i) parts.reports.request_arrived(parts.now);
  CHECK_THAT(parts.reports.relative_demand(parts.now), Catch::Matchers::WithinULP(2.0, 4));
  CHECK_THAT(parts.reports.relative_demand(parts.now + Millis(1e6)), Catch::Matchers::WithinULP(0.1, 4));
}

}  // namespace
}  // namespace pathstack::policy::test

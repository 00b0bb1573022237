// Tests the lease on the host list: its rules alone, and with a client over loopback connections.
#include "feed/list_lease.h"

#include <catch2/catch.hpp>
#include <vector>

#include "feed/membership_client.h"
#include "support/stand_in_log.h"

namespace pathstack::test {
namespace {

using core::Millis;
using feed::ListLease;

constexpr Millis kMaxWait{20000};

// A membership client with a stand-in log, and the end of the lease that the client reported last.
struct LeaseFixture {
  LeaseFixture() {
    log.events = 1;
    log.stays_open = true;
    log.truncates_replies = false;
    client.observe_lease([this](const ListLease& lease) { until = lease.until(); });
  }
  template <typename Until>
  bool turn_until(const Until& condition) {
    const Millis end = loop.now() + kMaxWait;
    while (!condition() && loop.now() < end) loop.turn(loop.now() + Millis(5), [] {});
    return condition();
  }
  bool is_current() const { return loop.now() < until; }

  net::Loop loop;
  net::BufferPool pool{64};
  core::Counters counters;
  StandInLog log{loop, pool};
  Millis until{1e15};
  feed::MembershipClient client{
      loop, pool, counters, log.server.address(), feed::EventSequence(1), [](const core::MemberList&) {}};
};

}  // namespace

TEST_CASE("the lease on the host list ends within the allowances of the platform") {
  ListLease lease(Millis(1000));
  CHECK(lease.until() == Millis(1000));  // the age of the configured list is unknown
  lease.events_requested(Millis(1010));
  lease.event_received(Millis(1020));
  CHECK(lease.until() == Millis(1000));  // more events may follow
  lease.confirmed(Millis(1030));
  CHECK(lease.until() == Millis(4780));  // the log may have stopped 250 ms earlier
  lease.event_received(Millis(2000));
  CHECK(lease.until() == Millis(5750));

  SECTION("a lost connection") {
    lease.connection_lost(Millis(2500));
    CHECK(lease.until() == Millis(2500));
    lease.connection_lost(Millis(4000));  // a later loss changes nothing: the outage began before
    CHECK(lease.until() == Millis(2500));
  }
  SECTION("a move") {
    lease.log_moved(Millis(1800));
    CHECK(lease.until() == Millis(5550));
  }
  SECTION("a request, until it is answered in full") {
    lease.events_requested(Millis(2500));
    CHECK(lease.until() == Millis(2500));
    lease.event_received(Millis(2510));
    CHECK(lease.until() == Millis(2500));
    lease.confirmed(Millis(2520));
    CHECK(lease.until() == Millis(6270));
  }
  SECTION("a gap") {
    lease.fell_behind(Millis(2500));
    CHECK(lease.until() == Millis(2500));
  }
}

TEST_CASE("the lease of the client begins with a line that shows that no event is missing") {
  LeaseFixture fixture;
  fixture.client.start();
  CHECK_FALSE(fixture.is_current());
  REQUIRE(fixture.turn_until([&] { return fixture.is_current(); }));
  CHECK(fixture.until <= fixture.loop.now() + ListLease::kStopAllowance);
}

TEST_CASE("a connection that is lost while the log refuses new ones ends the lease") {
  LeaseFixture fixture;
  fixture.client.start();
  REQUIRE(fixture.turn_until([&] { return fixture.is_current(); }));
  const Millis current_until = fixture.until;
  fixture.log.server.stop();
  fixture.log.server.peers.front()->end_later();
  REQUIRE(fixture.turn_until([&] { return fixture.until < current_until; }));
  CHECK_FALSE(fixture.is_current());
}

TEST_CASE(
    "the lease ends when the client requests events again from a silent log, and resumes with a full "
    "answer") {
  LeaseFixture fixture;
  fixture.client.start();
  REQUIRE(fixture.turn_until([&] { return fixture.is_current(); }));
  fixture.log.events = 2;
  fixture.log.truncates_replies = true;  // usually cut within the event
  REQUIRE(fixture.turn_until([&] { return fixture.log.requested_since.size() >= 2; }));
  CHECK_FALSE(fixture.is_current());
  fixture.log.truncates_replies = false;
  REQUIRE(fixture.turn_until([&] { return fixture.is_current(); }));
}

TEST_CASE("a line that is read late renews the lease only from the time before the stall of the process") {
  LeaseFixture fixture;
  fixture.client.start();
  REQUIRE(fixture.turn_until([&] { return fixture.is_current(); }));
  fixture.log.server.peers.front()->write("1\n");
  fixture.log.server.peers.front()->flush_now();
  const Millis stalled_from = fixture.loop.now();
  const Millis stalled_until = stalled_from + Millis(300);
  while (fixture.loop.now() < stalled_until) {}
  fixture.loop.turn(fixture.loop.now(), [] {});
  CHECK(fixture.until <= stalled_from + ListLease::kStopAllowance);
}

}  // namespace pathstack::test

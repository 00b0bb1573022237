// Reading of the xDS file: intervals are measured by the monotonic clock, so that jumps of the wall clock
// have no effect.
#include <fcntl.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/counters.h"
#include "net/loop.h"
#include "support/settings.h"
#include "support/temporary_path.h"
#include "xds/file_watch.h"
#include "xds/host_file.h"

namespace pathstack::test {
namespace {

constexpr double kHourMs = 3600e3;

std::string endpoint_list(int port) {
  return R"({"cluster_name":"bins","endpoints":[{"lb_endpoints":[{"endpoint":{"address":{"socket_address":)"
         R"({"address":"127.0.0.1","port_value":)" +
         std::to_string(port) + "}}}}]}]}";
}

// Sets the file times that a writer would leave whose wall clock is `offset_s` seconds off `at`.
void set_times(const std::string& path, const timespec& at, long offset_s) {
  timespec shifted = at;
  shifted.tv_sec += offset_s;
  const timespec times[] = {shifted, shifted};
  REQUIRE(utimensat(AT_FDCWD, path.c_str(), times, 0) == 0);
}

TEST_CASE(
    "an xDS file written twice with one timestamp is read again, however far the wall clock of its writer is "
    "off") {
  for (const long offset_s : {-3600L, -5L, 0L, 5L, 3600L}) {
    CAPTURE(offset_s);
    net::Loop loop;
    core::Counters counters;
    const TemporaryPath path;
    path.write(endpoint_list(1));
    struct stat first {};
    REQUIRE(stat(path.file().c_str(), &first) == 0);
    set_times(path.file(), first.st_mtim, offset_s);
    std::vector<core::MemberList> updates;
    xds::HostFile file(loop, counters, path.file(), "bins", Millis(5),
                       [&](const core::MemberList& list) { updates.push_back(list); });
    REQUIRE(file.start());
    path.write(endpoint_list(2));
    set_times(path.file(), first.st_mtim, offset_s);
    for (int i = 0; i < 200 && updates.size() < 2; ++i) loop.turn(loop.now() + Millis(20), [] {});
    REQUIRE(updates.size() == 2);
    CHECK(updates[1].members.at(0).address == "127.0.0.1:2");
  }
}

// Returns how often a file with an unchanged timestamp is read within 60 s, if it is checked every 0.5 s.
int count_reads(xds::FileWatch& watch, Millis start, bool succeeds) {
  int reads = 0;
  for (Millis now = start; now < start + Millis(60000); now += Millis(500)) {
    if (!watch.needs_read("1 100 5 0", now)) continue;
    ++reads;
    watch.read_done(succeeds, now);
  }
  return reads;
}

TEST_CASE("an unchanged file is read during the settling time only") {
  for (const double start : {0.0, -kHourMs, kHourMs}) {
    xds::FileWatch watch;
    CHECK(count_reads(watch, Millis(start), true) == 5);  // at 0, 0.5, 1, 1.5 and 2 s
  }
}

TEST_CASE("a file is read once more after its settling time, however late the check is") {
  xds::FileWatch watch;
  CHECK(watch.needs_read("a", Millis(0)));
  watch.read_done(true, Millis(0));
  CHECK(watch.needs_read("a", Millis(kHourMs)));
  watch.read_done(true, Millis(kHourMs));
  CHECK_FALSE(watch.needs_read("a", Millis(kHourMs + 500)));
  CHECK_FALSE(watch.needs_read("", Millis(kHourMs + 1000)));
  CHECK(watch.needs_read("b", Millis(kHourMs + 1500)));
  CHECK(watch.changed());
}

TEST_CASE("a failed read is repeated with backoff until it succeeds") {
  xds::FileWatch watch;
  // 5 in the settling time, then after delays of 0.5, 1, 2, 4 and then 8 s each.
  CHECK(count_reads(watch, Millis(0), false) == 15);
  CHECK(watch.needs_read("1 100 5 0", Millis(kHourMs)));
  watch.read_done(true, Millis(kHourMs));
  CHECK_FALSE(watch.needs_read("1 100 5 0", Millis(2 * kHourMs)));
}

// Regression: an exception of the stream library left the loop and ended the program.
TEST_CASE("an unreadable xDS file leaves the list in force, and is read once it is readable") {
  net::Loop loop;
  core::Counters counters;
  const TemporaryPath path;
  path.write(endpoint_list(1));
  std::vector<core::MemberList> updates;
  std::vector<std::string> faults;
  xds::HostFile file(
      loop, counters, path.file(), "bins", Millis(5),
      [&](const core::MemberList& list) { updates.push_back(list); },
      [&](const xds::ReadError& error) { faults.push_back(error.reason); });
  REQUIRE(file.start());
  const auto turn_until = [&](const auto& until) {
    for (int i = 0; i < 2000 && !until(); ++i) loop.turn(loop.now() + Millis(5), [] {});
    return until();
  };
  path.make_unreadable();
  REQUIRE(turn_until([&] { return !faults.empty(); }));
  CHECK(faults[0] == "cannot be read");
  CHECK_FALSE(file.switch_source(path.file(), "bins"));
  CHECK(updates.size() == 1);
  path.remove();
  CHECK_FALSE(file.switch_source(path.file(), "bins"));
  path.write(endpoint_list(2));
  REQUIRE(turn_until([&] { return updates.size() == 2; }));
  CHECK(updates[1].members.at(0).address == "127.0.0.1:2");
}

TEST_CASE("an xDS file that is cut off at any byte changes nothing") {
  net::Loop loop;
  core::Counters counters;
  const TemporaryPath path;
  path.write(endpoint_list(1));
  std::vector<core::MemberList> updates;
  xds::HostFile file(loop, counters, path.file(), "bins", Millis(5),
                     [&](const core::MemberList& list) { updates.push_back(list); });
  REQUIRE(file.start());
  const std::string next = endpoint_list(2);
  for (std::size_t bytes = 0; bytes < next.size(); ++bytes) {
    path.write(next.substr(0, bytes));
    const auto moved = file.switch_source(path.file(), "bins");
    REQUIRE_FALSE(moved);
    CHECK_FALSE(moved.error().reason.empty());
  }
  CHECK(updates.size() == 1);
  path.write(next);
  CHECK(file.switch_source(path.file(), "bins"));
  CHECK(updates.size() == 2);
}

}  // namespace
}  // namespace pathstack::test

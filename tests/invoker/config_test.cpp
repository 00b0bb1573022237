// The one reader of configuration, and Envoy's list of hosts.
#include "config/config.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <functional>

#include "app/reloader.h"
#include "config/file_read.h"
#include "core/counters.h"
#include "net/loop.h"
#include "net/socket.h"
#include "support/settings.h"
#include "support/temporary_path.h"
#include "xds/assignment.h"
#include "xds/host_file.h"

namespace pathstack::test {
namespace {

using nlohmann::json;

json good() {
  return json::parse(
      R"({"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","changelog":"127.0.0.1:9092",
    "limits":{"memory_mb":192,"sockets":1024},"known":{"seq":0,"results":[]},
    "settings":{"Classes":[{"Name":"bin-check","HardLimit":2000}],"Bounds":{"SendCap":4},
    "LoadInfo":{"Fields":["util"]}}})");
}
std::string fault_of(const json& file) {
  try {
    config::read_config(file, "", "");
  } catch (const config::ConfigError& fault) { return fault.what(); }
  return {};
}

TEST_CASE("a faulty configuration is refused by the name of its key") {
  CHECK(fault_of(good()).empty());
  const std::vector<std::pair<const char*, json>> faults = {{"/listen", "here"},
                                                            {"/seed", "12"},
                                                            {"/changelog", 5},
                                                            {"/limits/memory_mb", -1},
                                                            {"/limits/sockets", "a"},
                                                            {"/known/seq", "x"},
                                                            {"/settings/Classes", json()},
                                                            {"/settings/Bounds/SendCap", 0},
                                                            {"/settings/Classes/0/HardLimit", 0}};
  for (const auto& [path, value] : faults) {
    json file = good();
    const json::json_pointer at{std::string(path)};
    file[at] = value;
    const std::string key = at.back() == "HardLimit" ? at.back() : std::string(path + 1);
    std::string dotted = key;
    std::replace(dotted.begin(), dotted.end(), '/', '.');
    CHECK_THAT(fault_of(file), Catch::Contains(dotted));
  }
}

// Failure found in review: a setting of the wrong kind was read as absent, so that its rule or limit did not
// hold.
TEST_CASE(
    "a setting of the wrong kind is refused by the name of its key; unknown keys and absent ones are not") {
  const std::vector<std::pair<const char*, json>> faults = {{"settings.Rules", 5},
                                                            {"settings.Rules.DrainGrace", "250"},
                                                            {"settings.Rules.Cold", -1},
                                                            {"settings.Bounds.Probes", "no"},
                                                            {"settings.Bounds.ConnectTimeout", json::array()},
                                                            {"settings.FamilyInfo.LoadRatio", "0.15"},
                                                            {"settings.FamilyInfo.OnMiss", "wait"},
                                                            {"settings.Balancers", "three"},
                                                            {"settings.RegistryMode", 1},
                                                            {"settings.LoadInfo.How", "push"},
                                                            {"settings.Tenants", json{{"Name", "a"}}},
                                                            {"settings.Tenants.0.Share", "half"},
                                                            {"settings.Classes.0.Aim", "soon"},
                                                            {"settings.Classes.0.Semantics", "twice"},
                                                            {"settings.Classes.0.KeyScope", "planet"},
                                                            {"settings.Classes.0.Stream", "yes"}};
  for (const auto& [name, value] : faults) {
    std::string path = "/" + std::string(name);
    std::replace(path.begin(), path.end(), '.', '/');
    json file = good();
    file["settings"]["Tenants"] = json::array({{{"Name", "a"}, {"Share", 1}}});
    REQUIRE(fault_of(file).empty());
    file[json::json_pointer(path)] = value;
    CHECK_THAT(fault_of(file), Catch::Contains("." + json::json_pointer(path).back() + ": "));
  }
  json file = good();
  file["settings"]["Rules"] = {{"DrainGrace", nullptr}, {"Curfew", "22:00"}};
  file["settings"]["Lanterns"] = {1, "two"};
  CHECK(fault_of(file).empty());
}

// Failure found on a variant of the settings with peer messages: hosts were probed to tell invokers that hear
// nothing.
TEST_CASE("the module of an invoker has no peers, whatever the settings allow") {
  json file = good();
  file["settings"]["Bounds"]["PeerMessages"] = true;
  file["settings"]["Bounds"]["Probes"] = true;
  file["settings"]["Balancers"] = 30;
  file["settings"]["LoadInfo"]["How"] = "pull";
  const auto settings = config::read_config(file, "", "").settings;
  CHECK((settings.probes && settings.invokers == 30 &&
         settings.reports == pathstack::policy::ReportMode::probe));
  CHECK_FALSE(settings.peer_messages);
}

TEST_CASE("triggers need a broker and queues, and make platform keys optional") {
  json file = good();
  file.erase("listen");
  file.erase("changelog");
  file.erase("seed");
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}};
  file["xds"] = {{"file", "hosts.json"}, {"cluster", "bins"}};
  CHECK(fault_of(file).empty());
  file["amqp"]["queues"] = json::array();
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.queues"));
  file["amqp"] = {{"broker", "rabbit"}, {"queues", {"calls"}}};
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.broker"));
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}, {"prefetch", 0}};
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.prefetch"));
  file.erase("amqp");
  CHECK_THAT(fault_of(file), Catch::Contains("seed") || Catch::Contains("listen"));
}

json endpoint(int port, const json& health) {
  return {{"endpoint", {{"address", {{"socket_address", {{"address", "127.0.0.1"}, {"port_value", port}}}}}}},
          {"health_status", health}};
}
json assignment(const json& endpoints) {
  return {
      {"@type", "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"},
      {"cluster_name", "bins"},
      {"endpoints", json::array({{{"locality", {{"zone", "osborne-park"}}}, {"lb_endpoints", endpoints}}})}};
}

TEST_CASE(
    "xDS endpoints are hosts: DRAINING drains, the unhealthy get nothing new, half a file changes nothing") {
  const auto list = xds::read_assignment(
      assignment(json::array({endpoint(1, "HEALTHY"), endpoint(2, "DRAINING"), endpoint(3, "UNHEALTHY"),
                              endpoint(4, json()), endpoint(5, 3)})),
      "bins");
  REQUIRE(list);
  std::string states;
  for (const auto& m : list->members) states += m.entry.state == core::WorkerState::ready ? 'r' : 'd';
  CHECK(states == "rddrd");
  CHECK(list->members[1].address == "127.0.0.1:2");
  CHECK(list->members[0].entry.zone == "osborne-park");
  const json cluster = {{"@type", "type.googleapis.com/envoy.config.cluster.v3.Cluster"},
                        {"name", "bins-by-eds"},
                        {"type", "EDS"},
                        {"edsClusterConfig", {{"serviceName", "bins"}}}};
  const json both = {
      {"resources", json::array({cluster, assignment(json::array({endpoint(1, "HEALTHY")}))})}};
  CHECK(xds::read_assignment(both, "bins-by-eds")->members.size() == 1);
  CHECK_FALSE(xds::read_assignment(both, "other"));
  CHECK_FALSE(xds::read_assignment(assignment(json::array({endpoint(1, "HEALTHY"), endpoint(0, "HEALTHY")})),
                                   "bins"));
  CHECK_FALSE(xds::read_assignment(assignment(json::array({endpoint(1, "HEALTHY"), endpoint(1, "HEALTHY")})),
                                   "bins"));
}

// Failure found in review: something else in place of a list read as an empty one, and all hosts were gone.
TEST_CASE("an xDS file with something else in place of a list of endpoints is rejected") {
  json whole = assignment(json::array({endpoint(1, "HEALTHY")}));
  json wrong = whole;
  wrong["endpoints"] = "none";
  CHECK_FALSE(xds::read_assignment(wrong, "bins"));
  wrong["endpoints"] = json::array({"none"});
  CHECK_FALSE(xds::read_assignment(wrong, "bins"));
  wrong = whole;
  wrong["endpoints"][0]["lb_endpoints"] = 7;
  CHECK_FALSE(xds::read_assignment(wrong, "bins"));
  wrong = whole;
  wrong["endpoints"] = json::array();
  REQUIRE(xds::read_assignment(wrong, "bins"));
  CHECK(xds::read_assignment(wrong, "bins")->members.empty());
}

// Failure found in review: a file written in place twice within a tick of the file system's clock kept its
// time and size, and the second writing was never read.
TEST_CASE("an xDS file written in place twice in a moment is read again; half of it is rejected once") {
  net::Loop loop;
  core::Counters counters;
  char path[] = "/tmp/pathstack-xds-XXXXXX";
  const net::Socket made(mkstemp(path));
  struct stat first {};
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  const std::string ready = assignment(json::array({endpoint(1, "HEALTHY")})).dump();
  const std::string moved = assignment(json::array({endpoint(2, "HEALTHY")})).dump();
  REQUIRE(ready.size() == moved.size());
  write(ready);
  REQUIRE(stat(path, &first) == 0);
  std::vector<core::MemberList> updates;
  std::vector<std::string> faults;
  xds::HostFile file(
      loop, counters, path, "bins", Millis(5), [&](const auto& list) { updates.push_back(list); },
      [&](const xds::ReadError& error) { faults.push_back(error.reason); });
  REQUIRE(file.start());
  write(moved);
  const timespec times[] = {first.st_atim, first.st_mtim};
  REQUIRE(utimensat(AT_FDCWD, path, times, 0) == 0);
  const auto turn_until = [&](const auto& until) {
    for (int i = 0; i < 200 && !until(); ++i) loop.turn(loop.now() + Millis(20), [] {});
    return until();
  };
  REQUIRE(turn_until([&] { return updates.size() == 2; }));
  CHECK(updates[1].members.at(0).address == "127.0.0.1:2");
  write(ready.substr(0, ready.size() / 2));
  REQUIRE(turn_until([&] { return !faults.empty(); }));
  for (int i = 0; i < 5; ++i) loop.turn(loop.now() + Millis(20), [] {});
  CHECK(counters.value(core::Counter::xds_rejected) == 1);
  CHECK(faults.size() == 1);
  CHECK(updates.size() == 2);
  write(ready);
  CHECK(turn_until([&] { return updates.size() == 3; }));
  std::remove(path);
}

TEST_CASE("an xDS file is read again when it changes; what was added has just started") {
  net::Loop loop;
  core::Counters counters;
  char path[] = "/tmp/pathstack-xds-XXXXXX";
  const net::Socket made(mkstemp(path));
  const auto write = [&](const std::string& text) {
    const std::string next = std::string(path) + ".next";
    std::ofstream(next) << text;
    REQUIRE(std::rename(next.c_str(), path) == 0);
  };
  std::vector<core::MemberList> updates;
  write(assignment(json::array({endpoint(1, "HEALTHY")})).dump());
  xds::HostFile file(loop, counters, path, "bins", Millis(10),
                     [&](const auto& list) { updates.push_back(list); });
  REQUIRE(file.start());
  const auto wait_for = [&](core::Counter counter, std::uint64_t value) {
    for (int i = 0; i < 2000 && counters.value(counter) < value; ++i)
      loop.turn(loop.now() + Millis(20), [] {});
    return counters.value(counter) == value;
  };
  write(assignment(json::array({endpoint(1, "DRAINING"), endpoint(2, "HEALTHY")})).dump());
  REQUIRE(wait_for(core::Counter::xds_lists, 2));
  CHECK(updates[1].members[0].entry.state == core::WorkerState::draining);
  CHECK(updates[1].members[0].entry.started == Millis(0));
  CHECK(updates[1].members[1].entry.started > Millis(0));
  write("{\"half\": ");
  REQUIRE(wait_for(core::Counter::xds_rejected, 1));
  CHECK(updates.size() == 2);
  std::remove(path);
}

TEST_CASE("a configuration file that breaks off at any byte is refused, with the name of the file") {
  const TemporaryPath path;
  const std::string whole = good().dump();
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    path.write(whole.substr(0, bytes));
    CHECK_THROWS_WITH(config::read_config_file(path.file()), Catch::Contains(path.file()));
  }
  path.write(whole + whole.substr(whole.size() / 2));  // in place over a longer one
  CHECK_THROWS_WITH(config::read_config_file(path.file()), Catch::Contains(path.file()));
  path.write(whole);
  CHECK(config::read_config_file(path.file()).document == good());
}

TEST_CASE("a configuration file that fails to be read is refused, with the name of the file") {
  const TemporaryPath path;
  CHECK_THROWS_AS(config::read_config_file(path.file()), config::ConfigError);
  path.make_unreadable();
  CHECK_THROWS_AS(config::read_config_file(path.file()), config::ConfigError);
  CHECK_THROWS_WITH(config::read_config_file(path.file()), Catch::Contains(path.file()));
}

TEST_CASE("a file of which a read fails has no content; an empty one has") {
  const TemporaryPath path;
  CHECK_FALSE(config::read_file(path.file()));
  path.write("");
  CHECK(config::read_file(path.file()) == std::string());
  const std::string large(200000, 'x');
  path.write(large);
  CHECK(config::read_file(path.file()) == large);
  path.make_unreadable();
  CHECK_FALSE(config::read_file(path.file()));
  CHECK_FALSE(config::read_file("/proc/self/mem"));  // opens, and fails with EIO at the first byte
}

// The signal came before the file was whole, and the new configuration never came into force.
TEST_CASE("a configuration that is whole only after SIGHUP comes into force by itself") {
  net::Loop loop;
  const TemporaryPath path;
  json next = good();
  next["changelog"] = "127.0.0.1:9093";
  const std::string text = next.dump();
  // Empty, half, absent for a moment during a replacement, and a read that fails.
  const std::vector<std::function<void()>> states = {[&] { path.write(""); },
                                                     [&] { path.write(text.substr(0, text.size() / 2)); },
                                                     [&] { path.remove(); }, [&] { path.make_unreadable(); }};
  for (std::size_t state = 0; state < states.size(); ++state) {
    CAPTURE(state);
    path.remove();
    states[state]();
    std::string in_force = "127.0.0.1:9092";
    std::size_t attempts = 0;
    std::vector<std::string> faults;
    app::Reloader reloader(
        loop,
        [&] {
          ++attempts;
          in_force = config::read_config(config::read_config_file(path.file()), "", "").changelog;
        },
        [&](const std::string& fault, bool last) {
          CHECK_FALSE(last);
          faults.push_back(fault);
        });
    reloader.request();
    CHECK(attempts == 1);
    for (int i = 0; i < 200 && attempts < 3; ++i) loop.turn(loop.now() + Millis(20), [] {});
    CHECK(in_force == "127.0.0.1:9092");
    REQUIRE(faults.size() == 1);
    CHECK_THAT(faults[0], Catch::Contains(path.file()));
    path.remove();
    path.write(text);
    for (int i = 0; i < 200 && attempts < 4; ++i) loop.turn(loop.now() + Millis(20), [] {});
    CHECK(in_force == "127.0.0.1:9093");
    for (int i = 0; i < 40; ++i) loop.turn(loop.now() + Millis(20), [] {});
    CHECK(attempts == 4);
  }
}

TEST_CASE("a reload that keeps failing is given up, and a further request starts anew") {
  net::Loop loop;
  std::size_t attempts = 0, reports = 0, given_up = 0;
  app::Reloader reloader(
      loop,
      [&] {
        ++attempts;
        throw config::ConfigError("configuration: listen: no address");
      },
      [&](const std::string&, bool last) {
        ++reports;
        if (last) ++given_up;
      });
  reloader.request();
  for (int i = 0; i < 40 && given_up == 0; ++i) loop.turn(loop.now() + Millis(1000), [] {});
  CHECK(attempts == app::Reloader::kMaxAttempts);
  CHECK(reports == 2);
  reloader.request();
  CHECK(attempts == app::Reloader::kMaxAttempts + 1);
  CHECK(reports == 3);
}

}  // namespace
}  // namespace pathstack::test

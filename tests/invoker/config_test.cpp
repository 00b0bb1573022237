// Tests the configuration reader, Envoy's endpoint list in files, and reloads.
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

json valid_config() {
  return json::parse(
      R"({"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","changelog":"127.0.0.1:9092",
    "limits":{"memory_mb":192,"sockets":1024},"known":{"seq":0,"results":[]},
    "settings":{"Classes":[{"Name":"bin-check","HardLimit":2000}],"Bounds":{"SendCap":4},
    "LoadInfo":{"Fields":["util"]}}})");
}
std::string error_of(const json& file) {
  try {
    config::read_config(file, "", "");
  } catch (const config::ConfigError& fault) { return fault.what(); }
  return {};
}

TEST_CASE("an invalid configuration is rejected with the name of the key") {
  CHECK(error_of(valid_config()).empty());
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
    json file = valid_config();
    const json::json_pointer at{std::string(path)};
    file[at] = value;
    const std::string key = at.back() == "HardLimit" ? at.back() : std::string(path + 1);
    std::string dotted = key;
    std::replace(dotted.begin(), dotted.end(), '/', '.');
    CHECK_THAT(error_of(file), Catch::Contains(dotted));
  }
}

// Regression: a setting of the wrong type was read as absent, which disabled its rule or limit.
TEST_CASE(
    "a setting of the wrong type is rejected with the name of the key; unknown and absent keys are "
    "accepted") {
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
    json file = valid_config();
    file["settings"]["Tenants"] = json::array({{{"Name", "a"}, {"Share", 1}}});
    REQUIRE(error_of(file).empty());
    file[json::json_pointer(path)] = value;
    CHECK_THAT(error_of(file), Catch::Contains("." + json::json_pointer(path).back() + ": "));
  }
  json file = valid_config();
  file["settings"]["Rules"] = {{"DrainGrace", nullptr}, {"Curfew", "22:00"}};
  file["settings"]["Lanterns"] = {1, "two"};
  CHECK(error_of(file).empty());
}

// Regression: with peer messages in the settings, hosts were probed to inform other invokers, which cannot
// receive messages.
TEST_CASE("the decision module of an invoker sends no peer messages, whatever the settings allow") {
  json file = valid_config();
  file["settings"]["Bounds"]["PeerMessages"] = true;
  file["settings"]["Bounds"]["Probes"] = true;
  file["settings"]["Balancers"] = 30;
  file["settings"]["LoadInfo"]["How"] = "pull";
  const auto settings = config::read_config(file, "", "").settings;
  CHECK((settings.probes && settings.invokers == 30 &&
         settings.reports == pathstack::policy::ReportMode::probe));
  CHECK_FALSE(settings.peer_messages);
}

TEST_CASE("triggers need a broker and queues, and make the platform keys optional") {
  json file = valid_config();
  file.erase("listen");
  file.erase("changelog");
  file.erase("seed");
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}};
  file["xds"] = {{"file", "hosts.json"}, {"cluster", "bins"}};
  CHECK(error_of(file).empty());
  file["amqp"]["queues"] = json::array();
  CHECK_THAT(error_of(file), Catch::Contains("amqp.queues"));
  file["amqp"] = {{"broker", "rabbit"}, {"queues", {"calls"}}};
  CHECK_THAT(error_of(file), Catch::Contains("amqp.broker"));
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}, {"prefetch", 0}};
  CHECK_THAT(error_of(file), Catch::Contains("amqp.prefetch"));
  file.erase("amqp");
  CHECK_THAT(error_of(file), Catch::Contains("seed") || Catch::Contains("listen"));
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
    "xDS endpoints are read as hosts: DRAINING and unhealthy ones drain, and an invalid list is rejected") {
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

// Regression: another value in place of a list was read as an empty list, which removed all hosts.
TEST_CASE("an xDS file with another value in place of a list of endpoints is rejected") {
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

// Regression: a file that is written in place twice within one tick of the file system's clock keeps its
// modification time and size, and the second content was never read.
TEST_CASE("an xDS file written twice within a clock tick is read again; a truncated file is rejected once") {
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

TEST_CASE("an xDS file is read again when it changes; an added endpoint counts as just started") {
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

TEST_CASE("a configuration file that is truncated at any byte is rejected with the name of the file") {
  const TemporaryPath path;
  const std::string whole = valid_config().dump();
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    path.write(whole.substr(0, bytes));
    CHECK_THROWS_WITH(config::read_config_file(path.file()), Catch::Contains(path.file()));
  }
  path.write(whole + whole.substr(whole.size() / 2));  // written in place over a longer file
  CHECK_THROWS_WITH(config::read_config_file(path.file()), Catch::Contains(path.file()));
  path.write(whole);
  CHECK(config::read_config_file(path.file()).document == valid_config());
}

TEST_CASE("a configuration file that cannot be read is rejected with the name of the file") {
  const TemporaryPath path;
  CHECK_THROWS_AS(config::read_config_file(path.file()), config::ConfigError);
  path.make_unreadable();
  CHECK_THROWS_AS(config::read_config_file(path.file()), config::ConfigError);
  CHECK_THROWS_WITH(config::read_config_file(path.file()), Catch::Contains(path.file()));
}

TEST_CASE("read_file returns nothing if a read fails, and an empty string for an empty file") {
  const TemporaryPath path;
  CHECK_FALSE(config::read_file(path.file()));
  path.write("");
  CHECK(config::read_file(path.file()) == std::string());
  const std::string large(200000, 'x');
  path.write(large);
  CHECK(config::read_file(path.file()) == large);
  path.make_unreadable();
  CHECK_FALSE(config::read_file(path.file()));
  CHECK_FALSE(config::read_file("/proc/self/mem"));  // opens, but the first read fails with EIO
}

// Regression: if SIGHUP came before the file was complete, the new configuration was never applied.
TEST_CASE("a configuration that is completed only after SIGHUP is applied without another signal") {
  net::Loop loop;
  const TemporaryPath path;
  json next = valid_config();
  next["changelog"] = "127.0.0.1:9093";
  const std::string text = next.dump();
  // Empty, truncated, absent during a replacement, and unreadable.
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

TEST_CASE("a reload that keeps failing is given up, and a new request starts again") {
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

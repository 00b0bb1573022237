// The memory of the program as a process, under peers that make it hold as much as they can.
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/fields.h"
#include "resp/parser.h"
#include "support/process.h"

namespace pathstack::test {
namespace {

constexpr double kBytesPerKb = 1024;
constexpr std::size_t kLargestBody = std::size_t{16} * 1024;
constexpr Millis kSampleInterval{5};

// The limits that a deployment gives. Clients hold a third of the descriptors at most, and some of them may
// not connect at once without a request.
struct Platform {
  int memory_mb, sockets;
  int clients() const { return sockets / 3 - 40; }
};

// Counts complete answers, and keeps their words.
class FloodClient final : public net::Stream {
 public:
  FloodClient(ProcessFixture& fixture, const std::string& address)
      : Stream(fixture.loop, fixture.pool, net::connect_to(address), true) {}
  void call(std::uint64_t ref, std::uint64_t function, const std::string& body, std::size_t leave_out = 0) {
    std::string out;
    const std::string fields = "ref=" + net::hex16(ref) + ",allow=900,lookup=" + net::hex16(function);
    resp::write_array(out, {"CALL", std::to_string(++calls), "record", fields, body});
    write(out.substr(0, out.size() - leave_out));
  }
  int calls = 0, served = 0, answered = 0;
  bool closed = false;

 private:
  resp::Parser parser_;
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override {
    std::vector<resp::Words> answers;
    REQUIRE(parser_.take(bytes, answers));
    for (const auto& words : answers) {
      ++answered;
      served += words.at(1) == "OK" ? 1 : 0;
    }
  }
  void ended() override { closed = true; }
};

// Runs the program, and keeps the most memory that it was seen to have, with its files and libraries.
class MemoryFixture : public ProcessFixture {
 public:
  MemoryFixture(const Platform& platform, std::size_t buffers) : ProcessFixture(1000, buffers) {
    config["limits"] = {{"memory_mb", platform.memory_mb}, {"sockets", platform.sockets}};
  }
  template <typename Until>
  bool turn_and_sample(Millis time, const Until& until) {
    const Millis end = loop.now() + time;
    while (!until() && loop.now() < end) {
      const Millis next = loop.now() + kSampleInterval;
      turn_until([&] { return loop.now() >= next; });
      sample();
    }
    return until();
  }
  double peak_mb = 0;

 private:
  void sample() {
    std::ifstream status("/proc/" + std::to_string(program->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) peak_mb = std::max(peak_mb, std::stod(line.substr(6)) / kBytesPerKb);
    }
  }
};

}  // namespace

// Guards against a flood that took an invoker of 32 MB to 46 MB: each part had a bound of its own, and the
// sum had none.
TEST_CASE("calls at once and halves of requests stay within the memory limit", "[memory-limit]") {
  const auto platform = GENERATE(Platform{32, 256}, Platform{32, 1024}, Platform{192, 1024});
  constexpr int kCallsAtOnce = 31, kLargeCalls = 4;
  MemoryFixture fixture(platform, 16384);
  fixture.host.react = [](const std::string& body) {
    return body[0] == 'u' ? Reaction() : Reaction{Reaction::silence, ""};
  };
  const std::string address = fixture.start(PATHSTACK_PLAIN_INVOKER);
  std::uint64_t last_ref = 0;
  std::list<FloodClient> flood;
  for (int i = 0; i < platform.clients(); ++i) flood.emplace_back(fixture, address);
  for (auto& client : flood) {
    for (int i = 0; i < kCallsAtOnce; ++i) {
      ++last_ref;
      client.call(last_ref, last_ref, std::string(i < kLargeCalls ? kLargestBody : 1, 'b'));
    }
    client.call(++last_ref, last_ref, std::string(kLargestBody, 'h'), 3);
  }
  const auto is_answered = [](const FloodClient& c) { return c.closed || c.answered >= kCallsAtOnce; };
  CHECK(fixture.turn_and_sample(Millis(6000),
                                [&] { return std::all_of(flood.begin(), flood.end(), is_answered); }));
  const auto lost = std::count_if(flood.begin(), flood.end(),
                                  [](const FloodClient& c) { return c.answered < kCallsAtOnce; });
  CHECK(lost == 0);
  CHECK(fixture.peak_mb > 0);
  CHECK(fixture.peak_mb <= platform.memory_mb);
  // The flood leaves nothing behind that keeps others from being served.
  FloodClient late(fixture, address);
  late.call(++last_ref, 1, "u");
  REQUIRE(fixture.turn_until([&] { return late.answered == 1; }));
}

// Guards against hosts that send most of large answers: each connection could buffer 1 MB.
TEST_CASE("answers of hosts received in part stay within the memory limit", "[memory-limit]") {
  constexpr int kHosts = 60, kCalls = 240;
  const Platform platform{32, 1024};
  MemoryFixture fixture(platform, 16384);
  std::list<StandInHost> hosts;
  auto& members = fixture.config["known"]["results"][0]["fleet"]["members"];
  members.clear();
  for (int i = 0; i < kHosts; ++i) {
    hosts.emplace_back(fixture.loop, fixture.pool);
    hosts.back().react = [](const std::string&) { return Reaction{Reaction::unfinished, ""}; };
    members.push_back({{"id", "h" + std::to_string(i)},
                       {"host_port", hosts.back().server.address()},
                       {"phase", "ready"},
                       {"size", 1}});
  }
  const std::string address = fixture.start(PATHSTACK_PLAIN_INVOKER);
  std::list<FloodClient> clients;
  for (int i = 0; i < kCalls; ++i) {
    if (i % 30 == 0) clients.emplace_back(fixture, address);
    clients.back().call(static_cast<std::uint64_t>(i + 1), static_cast<std::uint64_t>(i + 1), "x");
  }
  const auto all_answered = [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const FloodClient& c) { return c.answered == c.calls; });
  };
  CHECK(fixture.turn_and_sample(Millis(6000), all_answered));
  int execs = 0;
  for (const auto& host : hosts) execs += host.execs;
  CHECK(execs > platform.memory_mb);  // of 1 MB each: more than would fit
  CHECK(fixture.peak_mb > 0);
  CHECK(fixture.peak_mb <= platform.memory_mb);
}

// Guards against clients that do not read: their answers are unwritten bytes, of up to 32 calls each.
TEST_CASE("answers that clients do not read stay within the memory limit", "[memory-limit]") {
  const auto platform = GENERATE(Platform{32, 256}, Platform{32, 1024});
  constexpr int kCallsAtOnce = 31, kReceiveBuffer = 4096;
  MemoryFixture fixture(platform, 16384);
  const std::string address = fixture.start(PATHSTACK_PLAIN_INVOKER);
  std::vector<net::Socket> sockets;
  std::vector<std::string> unsent;
  std::uint64_t last_ref = 0;
  for (int i = 0; i < platform.clients(); ++i) {
    sockets.push_back(net::connect_to(address));
    setsockopt(sockets.back().fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    unsent.emplace_back();
    for (int call = 1; call <= kCallsAtOnce; ++call) {
      const std::string fields = "ref=" + net::hex16(++last_ref) + ",allow=900,lookup=00000000000000a1";
      const std::string body(kLargestBody, 'x');
      resp::write_array(unsent.back(), {"CALL", std::to_string(call), "record", fields, body});
    }
  }
  const Millis end = fixture.loop.now() + Millis(3000);
  fixture.turn_and_sample(Millis(5000), [&] {
    for (std::size_t i = 0; i < sockets.size(); ++i) {
      const ssize_t sent = send(sockets[i].fd(), unsent[i].data(), unsent[i].size(), MSG_NOSIGNAL);
      if (sent > 0) unsent[i].erase(0, static_cast<std::size_t>(sent));
    }
    return fixture.loop.now() >= end;
  });
  CHECK(fixture.host.execs > 0);
  CHECK(fixture.peak_mb > 0);
  CHECK(fixture.peak_mb <= platform.memory_mb);
  FloodClient late(fixture, address);
  late.call(++last_ref, 0xa1, "u");
  REQUIRE(fixture.turn_until([&] { return late.answered == 1 || late.closed; }));
  CHECK(late.answered == 1);
}

// Guards against a line of the membership log that never ends, and against the largest list of the pages.
TEST_CASE("lines of the membership log stay within the memory limit", "[memory-limit]") {
  constexpr int kHosts = 3200, kFunctions = 1000;
  constexpr std::size_t kEndless = std::size_t{40} << 20;
  const Platform platform{32, 1024};
  const bool endless = GENERATE(true, false);
  MemoryFixture fixture(platform, 16384);
  std::string line = R"({"seq":2,"fleet":{"revision":2,"complete":true,"members":[)";
  for (int i = 0; i < kHosts; ++i) {
    if (i > 0) line += ',';
    line += R"({"id":"h)" + std::to_string(i) + R"(","host_port":")" + fixture.host.server.address() +
            R"(","locality":"hall-a","flavor":"std","cell":1,"phase":"ready","size":1,"up_since_ms":0})";
  }
  line += "]}}\n";
  if (endless) line = std::string(kEndless, ' ');
  const std::string address = fixture.start(PATHSTACK_PLAIN_INVOKER);
  REQUIRE(fixture.turn_until([&] { return !fixture.log.server.peers.empty(); }));
  for (const auto& peer : fixture.log.server.peers) peer->write(line);
  fixture.turn_and_sample(Millis(2500), [&] { return fixture.log.requested_since.size() > 1; });
  // Each function has a list of all hosts; what is known of unused ones must not keep new ones from being
  // served.
  FloodClient client(fixture, address);
  for (std::uint64_t id = 1; id <= kFunctions; ++id) {
    client.call(id, id, "u");
    REQUIRE(fixture.turn_until([&] { return client.answered == client.calls; }));
  }
  CHECK(client.served == kFunctions);
  const bool applied = fixture.program->output().find("seq=2 complete=1 ready=3200") != std::string::npos;
  CHECK(applied == !endless);
  CHECK(fixture.peak_mb > 0);
  CHECK(fixture.peak_mb <= platform.memory_mb);
}

}  // namespace pathstack::test

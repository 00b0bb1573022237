// The program as a process: start, signals and calls over loopback.
#include "support/process.h"

#include <poll.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <nlohmann/json.hpp>

#include "net/fields.h"
#include "resp/parser.h"
#include "support/settings.h"
#include "support/stand_in_host.h"
#include "support/stand_in_log.h"

namespace pathstack::test {
namespace {

class Client final : public net::Stream {
 public:
  Client(ProcessFixture& fixture, const std::string& address)
      : Stream(fixture.loop, fixture.pool, net::connect_to(address), true) {}
  void call(const std::string& tag, int allow) {
    std::string out;
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(tag)) +
                               ",allow=" + std::to_string(allow) + ",lookup=00000000000000a1";
    resp::write_array(out, {"CALL", tag, "record", fields, "x"});
    write(out);
  }
  std::vector<resp::Words> replies;
  bool closed = false;

 private:
  resp::Parser parser_;
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override { REQUIRE(parser_.take(bytes, replies)); }
  void ended() override { closed = true; }
};

// Regression: known events that cannot be read were skipped and never requested.
TEST_CASE("known events that cannot be read are requested from the membership log") {
  ProcessFixture fixture(1000);
  StandInLog log(fixture.loop, fixture.pool);
  fixture.config["changelog"] = log.server.address();
  fixture.config["known"]["seq"] = 2;
  fixture.config["known"]["results"].push_back({{"seq", 2}, {"fleet", {{"members", {{{"phase", "gone"}}}}}}});
  fixture.start();
  REQUIRE(fixture.turn_until([&] { return !log.requested_since.empty(); }));
  CHECK(log.requested_since.front() == 1);
}

TEST_CASE("a configuration with many hosts is read, and a host from it is used") {
  ProcessFixture fixture(1000);
  auto& members = fixture.config["known"]["results"][0]["fleet"]["members"];
  for (int i = 1; i <= 5000; ++i) {
    members.push_back(
        {{"id", "gone" + std::to_string(i)}, {"host_port", "127.0.0.1:9"}, {"phase", "draining"}});
  }
  Client client(fixture, fixture.start());
  client.call("1", 900);
  REQUIRE(fixture.turn_until([&] { return !client.replies.empty(); }));
  CHECK(client.replies[0].at(1) == "OK");
  CHECK(fixture.program->output().find("known:") == std::string::npos);
}

// Regression: output that nobody read blocked the event loop, and with it all calls.
TEST_CASE("output that nobody reads blocks no call; dropped lines are counted") {
  ProcessFixture fixture(1000);
  const std::string address = fixture.start();
  Client first(fixture, address);
  first.call("1", 900);
  REQUIRE(fixture.turn_until([&] { return !first.replies.empty(); }));
  fixture.program->shrink_output();
  const auto wait = [&](double span) {
    const Millis until = fixture.loop.now() + Millis(span);
    while (fixture.loop.now() < until) fixture.loop.turn(until, [] {});
  };
  // Makes the program log all counters until the unread output stops growing.
  for (int unread = -1; fixture.program->unread_output() > unread;) {
    unread = fixture.program->unread_output();
    fixture.program->send_signal(SIGUSR1);
    wait(50);
  }
  REQUIRE(fixture.program->unread_output() > 0);
  Client client(fixture, address);
  client.call("2", 900);
  REQUIRE(fixture.turn_until([&] { return !client.replies.empty() || client.closed; }));
  REQUIRE(client.replies.size() == 1);
  CHECK(client.replies[0].at(1) == "OK");
  // Causes far more output than the pipe and the program can buffer. Once the output is read, the program
  // writes again and reports the dropped lines.
  for (int i = 0; i < 1500; ++i) {
    fixture.program->send_signal(SIGUSR1);
    wait(1);
  }
  REQUIRE(fixture.turn_until([&] {
    fixture.program->send_signal(SIGUSR1);
    return fixture.program->output().find("log.lines_dropped ") != std::string::npos;
  }));
}

// Regression, found in the scenario roll+mass: two in three invokers were killed with open calls, as each
// waited for its longest deadline, while SIGKILL may follow 3.7 s after SIGTERM.
TEST_CASE("after SIGTERM, open calls are answered before SIGKILL may follow, however long their deadline") {
  ProcessFixture fixture(9000);
  fixture.host.react = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  Client client(fixture, fixture.start());
  client.call("1", 9000);
  REQUIRE(fixture.turn_until([&] { return fixture.host.execs == 1; }));
  const Millis signal_time = fixture.loop.now();
  fixture.program->send_signal(SIGTERM);
  REQUIRE(fixture.turn_until([&] { return !client.replies.empty() || client.closed; }));
  CHECK((fixture.loop.now() - signal_time).count() < 3700);
  REQUIRE(client.replies.size() == 1);
  CHECK(client.replies[0] == resp::Words{"1", "FAILED"});
  REQUIRE(fixture.turn_until([&] { return fixture.program->exit_status().has_value(); }));
  CHECK(fixture.program->exit_status() == 0);
  CHECK(fixture.host.cancels == 1);
}

// Starts a program whose address is in use, and waits until it has reported that.
void start_with_address_in_use(ProcessFixture& fixture, const net::Socket& holder) {
  fixture.config["listen"] = net::bound_address(holder);
  fixture.file.write(fixture.config);
  fixture.program.emplace(fixture.file.path());
  const std::string fault = "cannot listen on " + net::bound_address(holder) + ": Address already in use";
  REQUIRE(fixture.turn_until([&] { return fixture.program->output().find(fault) != std::string::npos; }));
}

TEST_CASE("listening on an address in use is retried until the address is free") {
  ProcessFixture fixture(1000);
  net::Socket holder = net::listen_on("127.0.0.1:0").socket;
  const std::string address = net::bound_address(holder);
  start_with_address_in_use(fixture, holder);
  holder.close();
  REQUIRE(fixture.turn_until([&] {
    return fixture.program->output().find("listening on " + address) != std::string::npos ||
           fixture.program->exit_status();
  }));
  REQUIRE_FALSE(fixture.program->exit_status());
  Client client(fixture, address);
  client.call("1", 900);
  REQUIRE(fixture.turn_until([&] { return !client.replies.empty() || client.closed; }));
  REQUIRE(client.replies.size() == 1);
  CHECK(client.replies[0].at(1) == "OK");
}

TEST_CASE(
    "an address that stays in use ends the program with an error that names it; SIGTERM ends the retries") {
  ProcessFixture fixture(1000);
  const net::Socket holder = net::listen_on("127.0.0.1:0").socket;
  start_with_address_in_use(fixture, holder);
  SECTION("stays in use") {
    REQUIRE(fixture.turn_until([&] { return fixture.program->exit_status().has_value(); }));
    CHECK(fixture.program->exit_status() == 1);
    const std::string named =
        "configuration: listen: cannot listen on " + net::bound_address(holder) + ": Address already in use";
    CHECK(fixture.program->output().find(named) != std::string::npos);
  }
  SECTION("SIGTERM") {
    fixture.program->send_signal(SIGTERM);
    REQUIRE(fixture.turn_until([&] { return fixture.program->exit_status().has_value(); }));
    CHECK(fixture.program->exit_status() == 0);
  }
}

// A client that keeps more bytes of health checks in flight than the program reads from a connection in one
// turn, and fewer than the program discards at shutdown. It sends until the connection ends.
class BusyClient {
 public:
  enum class State { open, closed_in_order, reset };
  BusyClient(const std::string& address, std::string first) : socket_(net::connect_to(address)) {
    unsent_ = std::move(first);
  }
  State state() const { return state_; }
  std::size_t answered() const { return answered_; }
  // The status of the answer to the first request, whose tag is used by no health check.
  const std::string& first_status() const { return first_status_; }
  void turn() {
    if (state_ != State::open) return;
    while (sent_ - answered_ < kWindow) {
      resp::write_array(unsent_, {"CHECK", std::to_string(2 + sent_++), padding_});
    }
    // Sends until the socket buffers are full.
    for (ssize_t sent = 1; sent > 0 && !unsent_.empty();) {
      sent = ::send(socket_.fd(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
      if (sent > 0) unsent_.erase(0, static_cast<std::size_t>(sent));
    }
    read();
    if (state_ != State::open) socket_.close();
  }

 private:
  static constexpr std::size_t kWindow = 40;
  const std::string padding_ = std::string(16000, 'x');
  net::Socket socket_;
  resp::Parser parser_;
  std::string unsent_, first_status_;
  std::size_t sent_ = 0, answered_ = 0;
  State state_ = State::open;

  void read() {
    std::vector<char> block(std::size_t{64} * 1024);
    while (state_ == State::open) {
      const ssize_t got = ::recv(socket_.fd(), block.data(), block.size(), 0);
      if (got < 0 && (errno == EAGAIN || errno == ENOTCONN)) return;
      if (got < 0) state_ = State::reset;
      if (got == 0) state_ = State::closed_in_order;
      if (got <= 0) return;
      std::vector<resp::Words> answers;
      REQUIRE(parser_.take({block.data(), static_cast<std::size_t>(got)}, answers));
      for (const auto& answer : answers) {
        if (answer[0] == "1") {
          first_status_ = answer.at(1);
        } else {
          ++answered_;
        }
      }
    }
  }
};

// Regression: the exit closed connections with unread input, which resets them.
TEST_CASE("after SIGTERM, no connection is reset, even if its client goes on sending") {
  ProcessFixture fixture(1000);
  fixture.host.react = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  const std::string address = fixture.start();
  std::string call;
  resp::write_array(call,
                    {"CALL", "1", "record", "ref=00000000000000c1,allow=900,lookup=00000000000000a1", "x"});
  BusyClient client(address, call);
  REQUIRE(fixture.turn_until([&] {
    client.turn();
    return fixture.host.execs == 1 && client.answered() > 0;
  }));
  const Millis signal_time = fixture.loop.now();
  fixture.program->send_signal(SIGTERM);
  REQUIRE(fixture.turn_until([&] {
    client.turn();
    fixture.loop.at(fixture.loop.now(),
                    [] {});  // keeps the loop from waiting, so that input is always in flight
    return fixture.program->exit_status().has_value();
  }));
  CHECK((fixture.loop.now() - signal_time).count() < 1700);
  client.turn();
  CHECK(client.state() == BusyClient::State::closed_in_order);
  CHECK(client.first_status() == "FAILED");
  CHECK(fixture.program->exit_status() == 0);
}

}  // namespace
}  // namespace pathstack::test

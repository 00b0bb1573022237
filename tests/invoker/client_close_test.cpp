// How the platform's front ends connections: every call that it has read gets its final answer first, and the
// last answer arrives whole, whatever the client goes on sending.
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <list>
#include <string>
#include <vector>

#include "net/fields.h"
#include "net/system_calls.h"
#include "resp/front.h"
#include "support/world.h"

namespace pathstack::test {
namespace {

constexpr int kMostTurns = 1500;  // of 20 ms at most
constexpr char kGarbage[] = "garbage\r\n";

struct Platform {
  World world{1};
  resp::Front front;
  explicit Platform(const resp::Front::Limits& limits = {})
      : front(world.loop, world.pool, world.dispatcher, world.counters, limits) {
    REQUIRE(front.listen("127.0.0.1:0"));
  }
  StandInHost& host() { return *world.host[0]; }
  std::uint64_t count(core::Counter counter) const { return world.counters.value(counter); }
  template <typename Until>
  bool turn_until(const Until& until) {
    return world.turn_until(until, kMostTurns);
  }
  void keep_host_silent() {
    host().react = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  }
  // The host's answer to a call whose `exec` it left unanswered.
  void serve(const std::string& ref) { host().server.peers.front()->write(ref + " data - 1\r\nx\r\n"); }
};

std::string request(const std::vector<std::string_view>& words) {
  std::string out;
  resp::write_array(out, words);
  return out;
}

std::string ref_of(const std::string& tag) { return net::hex16(std::hash<std::string>()(tag)); }

std::string call(const std::string& tag, const std::string& body = "x") {
  const std::string fields =
      "ref=" + ref_of(tag) + ",allow=1400,lookup=00000000000000a1,spec=memory_mb:300;lanes:4";
  return request({"CALL", tag, "bin-record", fields, body});
}

// A client that knows how its connection ended, and that reads and writes only when the test says so.
class RawClient {
 public:
  enum class State { open, closed_in_order, reset };
  explicit RawClient(const std::string& address) : socket_(net::connect_to(address)) {}
  void close() { socket_.close(); }
  void limit_receive_buffer(int bytes) const {
    REQUIRE(setsockopt(socket_.fd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
  }
  // True once `unsent` is empty.
  bool send_some(std::string& unsent) const {
    const ssize_t sent = ::send(socket_.fd(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (sent > 0) unsent.erase(0, static_cast<std::size_t>(sent));
    return unsent.empty();
  }
  void send_all(Platform& platform, std::string bytes) const {
    REQUIRE(platform.turn_until([&] { return send_some(bytes); }));
  }
  State read() {
    std::vector<char> block(std::size_t{64} * 1024);
    while (state_ == State::open) {
      const ssize_t got = ::recv(socket_.fd(), block.data(), block.size(), 0);
      if (got < 0 && (errno == EAGAIN || errno == ENOTCONN)) break;
      if (got < 0) state_ = State::reset;
      if (got == 0) state_ = State::closed_in_order;
      if (got > 0) REQUIRE(parser_.take({block.data(), static_cast<std::size_t>(got)}, answers_));
    }
    return state_;
  }
  State read_to_end(Platform& platform) {
    platform.turn_until([&] { return read() != State::open; });
    return state_;
  }
  bool has_answer(Platform& platform, const std::string& tag) {
    return platform.turn_until([&] {
      read();
      return !word_of(tag).empty();
    });
  }
  // The word of the answer under a tag, or nothing.
  std::string word_of(const std::string& tag) const {
    const auto same = [&](const resp::Words& answer) { return answer[0] == tag; };
    const auto found = std::find_if(answers_.begin(), answers_.end(), same);
    return found == answers_.end() ? std::string() : found->at(1);
  }
  const std::vector<resp::Words>& answers() const { return answers_; }

 private:
  net::Socket socket_;
  resp::Parser parser_;
  std::vector<resp::Words> answers_;
  State state_ = State::open;
};

using State = RawClient::State;

TEST_CASE("a call that is open when its client sends a fault gets its answer, and nothing behind is begun") {
  struct Fault {
    core::Counter counter;
    std::string bytes;
  };
  const auto fault = GENERATE(Fault{core::Counter::resp_malformed, kGarbage},
                              Fault{core::Counter::resp_no_tag, request({"CALL", "0"})},
                              Fault{core::Counter::resp_no_tag, request({"CALL"})},
                              Fault{core::Counter::resp_tag_repeated, call("2", "y")});
  const bool same_write = GENERATE(true, false);
  Platform p;
  p.keep_host_silent();
  RawClient client(p.front.address());
  const std::string calls = call("1") + call("2"), behind = fault.bytes + call("3");
  client.send_all(p, same_write ? calls + behind : calls);
  if (!same_write) {
    REQUIRE(p.turn_until([&] { return p.host().execs == 2; }));
    client.send_all(p, behind);
  }
  REQUIRE(p.turn_until([&] { return p.count(fault.counter) == 1 && p.host().execs >= 1; }));
  CHECK(client.read() == State::open);
  p.serve(ref_of("1"));
  const bool repeated = fault.counter == core::Counter::resp_tag_repeated;
  if (!repeated) {
    REQUIRE(p.turn_until([&] { return p.host().execs == 2; }));
    p.serve(ref_of("2"));
  }
  CHECK(client.read_to_end(p) == State::closed_in_order);
  CHECK(client.word_of("1") == "OK");
  // Which of the two calls an OK would be for could not be determined.
  CHECK(client.word_of("2") == (repeated ? "FAILED" : "OK"));
  CHECK(client.answers().size() == 2);
  CHECK(p.host().execs <= 2);
  CHECK(p.world.dispatcher.open_calls() == 0);
}

TEST_CASE("an answer that waits to be written when a fault is read is written before the connection ends") {
  Platform p;
  RawClient client(p.front.address());
  const std::string fault = GENERATE(std::string(kGarbage), request({"CHECK"}));
  client.send_all(p, request({"CHECK", "1", ""}) + fault + request({"CHECK", "2", ""}));
  CHECK(client.read_to_end(p) == State::closed_in_order);
  CHECK(client.answers() == std::vector<resp::Words>{{"1", "UP"}});
}

TEST_CASE("a client beyond the limit of faults gets the answers of its open calls") {
  constexpr int kBadCalls = 65;
  Platform p;
  p.keep_host_silent();
  RawClient client(p.front.address());
  std::string bytes = call("1");
  for (int i = 0; i < kBadCalls; ++i) bytes += request({"CALL", std::to_string(100 + i), "bin-record"});
  client.send_all(p, bytes + call("2"));
  REQUIRE(
      p.turn_until([&] { return p.count(core::Counter::resp_faults_closed) == 1 && p.host().execs == 1; }));
  p.serve(ref_of("1"));
  CHECK(client.read_to_end(p) == State::closed_in_order);
  CHECK(client.word_of("1") == "OK");
  CHECK(client.answers().size() == 1 + kBadCalls);
  CHECK(p.host().execs == 1);
}

// Guards reading on after a fault: a connection that is not read any more would not show that its client
// left.
TEST_CASE("a client that closes after a fault has its attempt dropped") {
  Platform p;
  p.keep_host_silent();
  RawClient client(p.front.address());
  client.send_all(p, call("1") + kGarbage);
  REQUIRE(p.turn_until([&] { return p.count(core::Counter::resp_malformed) == 1 && p.host().execs == 1; }));
  CHECK(client.read() == State::open);
  client.close();
  REQUIRE(p.turn_until([&] { return p.host().cancels == 1; }));
  CHECK(p.world.dispatcher.open_calls() == 0);
  CHECK(p.front.closed());
}

TEST_CASE("calls that are open for long after a fault are failed, so that the connection can end") {
  resp::Front::Limits limits;
  limits.rejected_timeout = Millis(50);
  Platform p(limits);
  p.keep_host_silent();
  RawClient client(p.front.address());
  const Millis began = p.world.loop.now();
  client.send_all(p, call("1") + kGarbage);
  CHECK(client.read_to_end(p) == State::closed_in_order);
  CHECK(client.answers() == std::vector<resp::Words>{{"1", "FAILED"}});
  CHECK(p.turn_until([&] { return p.host().cancels == 1; }));
  CHECK(p.world.loop.now() - began < Millis(1400));
}

TEST_CASE("answers arrive whole at a client that reads late and goes on sending behind a fault") {
  constexpr int kCalls = 30;
  Platform p;
  RawClient client(p.front.address());
  client.limit_receive_buffer(4096);
  const std::string body(16000, 'x');
  std::string bytes;
  for (int i = 1; i <= kCalls; ++i) bytes += call(std::to_string(i), body);
  client.send_all(p, bytes + kGarbage);
  // More than is read of one connection in a turn.
  client.send_all(p, std::string(net::Stream::kLingerMaxBytes / 2, 'x'));
  REQUIRE(p.turn_until([&] { return p.world.dispatcher.open_calls() == 0 && p.host().execs == kCalls; }));
  client.send_all(p, std::string(1000, 'x'));
  CHECK(client.read_to_end(p) == State::closed_in_order);
  CHECK(client.answers().size() == kCalls);
}

// Counts what is received once a connection has shut down sending.
class ReceiveCounter final : public net::SystemCalls {
 public:
  std::size_t received = 0;
  int shutdowns = 0;

 private:
  ssize_t receive(int fd, void* buffer, std::size_t size) override {
    const ssize_t got = SystemCalls::receive(fd, buffer, size);
    if (shutdowns > 0 && got > 0) received += static_cast<std::size_t>(got);
    return got;
  }
  int shutdown(int fd, int how) override {
    ++shutdowns;
    return SystemCalls::shutdown(fd, how);
  }
};

TEST_CASE("a client that floods its connection after the last answer is cut off") {
  ReceiveCounter calls;
  const net::ScopedSystemCalls scoped(calls);
  Platform p;
  RawClient client(p.front.address());
  client.send_all(p, request({"CHECK", "1", ""}) + kGarbage);
  REQUIRE(client.has_answer(p, "1"));
  std::string flood;
  CHECK(p.turn_until([&] {
    if (flood.empty()) flood.assign(std::size_t{64} * 1024, 'x');
    client.send_some(flood);
    return p.front.closed();
  }));
  CHECK(calls.shutdowns == 1);
  CHECK(calls.received > net::Stream::kLingerMaxBytes);
  CHECK(calls.received <= net::Stream::kLingerMaxBytes + (std::size_t{128} << 10));
}

TEST_CASE("a client that does not close after the last answer is closed after a while") {
  Platform p;
  RawClient client(p.front.address());
  client.send_all(p, request({"CHECK", "1", ""}) + kGarbage);
  REQUIRE(client.read_to_end(p) == State::closed_in_order);
  CHECK_FALSE(p.front.closed());
  CHECK(p.turn_until([&] { return p.front.closed(); }));
}

TEST_CASE("connections that wait for their client's close are bounded in number") {
  constexpr int kClients = 5;
  resp::Front::Limits limits;
  limits.closing = 2;
  Platform p(limits);
  std::list<RawClient> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(p.front.address());
    clients.back().send_all(p, request({"CHECK", "1", ""}) + kGarbage);
    REQUIRE(clients.back().read_to_end(p) == State::closed_in_order);
    CHECK(clients.back().word_of("1") == "UP");
  }
  CHECK(p.count(core::Counter::resp_linger_cut) == kClients - 2);
}

TEST_CASE("a health check on a connection for which there is no place is answered") {
  resp::Front::Limits limits;
  limits.clients = 1;
  Platform p(limits);
  p.keep_host_silent();
  RawClient usual(p.front.address());
  usual.send_all(p, call("1"));
  REQUIRE(p.turn_until([&] { return p.host().execs == 1; }));
  RawClient late(p.front.address());
  late.send_all(p, request({"CHECK", "1", ""}) + call("2"));
  CHECK(late.read_to_end(p) == State::closed_in_order);
  CHECK(late.answers() == std::vector<resp::Words>{{"1", "UP"}, {"2", "BUSY"}});
  CHECK(usual.read() == State::open);
}

// Hides from the event loop that the connection accepted first has become readable.
class FirstConnectionHidden final : public net::SystemCalls {
 public:
  bool hidden = false;

 private:
  int first_ = -1;
  int accept(int fd, int flags) override {
    const int accepted = SystemCalls::accept(fd, flags);
    if (first_ < 0) first_ = accepted;
    return accepted;
  }
  int poll(pollfd* descriptors, nfds_t count, int timeout_ms) override {
    const bool by_loop = count > 1;
    const int found = SystemCalls::poll(descriptors, count, by_loop && hidden ? 0 : timeout_ms);
    for (nfds_t i = 0; by_loop && hidden && i < count; ++i) {
      if (descriptors[i].fd == first_) descriptors[i].revents = 0;
    }
    return found;
  }
};

TEST_CASE("an idle connection on which a request waits to be read does not give up its place") {
  FirstConnectionHidden calls;
  const net::ScopedSystemCalls scoped(calls);
  resp::Front::Limits limits;
  limits.clients = 2;
  Platform p(limits);
  RawClient first(p.front.address());
  first.send_all(p, request({"CHECK", "1", ""}));
  REQUIRE(first.has_answer(p, "1"));
  RawClient second(p.front.address()), third(p.front.address());
  second.send_all(p, request({"CHECK", "1", ""}));
  REQUIRE(second.has_answer(p, "1"));
  calls.hidden = true;
  first.send_all(p, request({"CHECK", "2", ""}));
  third.send_all(p, request({"CHECK", "1", ""}));
  REQUIRE(third.has_answer(p, "1"));
  calls.hidden = false;
  CHECK(first.has_answer(p, "2"));
  CHECK(first.read() == State::open);
  CHECK(second.read_to_end(p) == State::closed_in_order);
}

TEST_CASE("closing all connections sends what waits to be written, whatever the clients go on sending") {
  constexpr int kCalls = 30;
  Platform p;
  RawClient client(p.front.address());
  client.limit_receive_buffer(4096);
  std::string bytes;
  for (int i = 1; i <= kCalls; ++i) bytes += call(std::to_string(i), std::string(16000, 'x'));
  client.send_all(p, bytes);
  REQUIRE(p.turn_until([&] { return p.world.dispatcher.open_calls() == 0 && p.host().execs == kCalls; }));
  p.front.close_connections();
  client.send_all(p, std::string(net::Stream::kLingerMaxBytes / 2, 'x'));
  CHECK(client.read_to_end(p) == State::closed_in_order);
  CHECK(client.answers().size() == kCalls);
  client.close();
  CHECK(p.turn_until([&] { return p.front.closed(); }));
}

}  // namespace
}  // namespace pathstack::test

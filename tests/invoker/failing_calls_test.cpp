// Behaviour on transient failures of system calls, with real connections.
#include <signal.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <deque>
#include <list>

#include "app/signal_pipe.h"
#include "feed/membership_client.h"
#include "net/fields.h"
#include "net/system_calls.h"
#include "resp/front.h"
#include "resp/parser.h"
#include "support/stand_in_log.h"
#include "support/world.h"

namespace pathstack::test {
namespace {

constexpr int kMaxTurns = 300;  // of at most 20 ms each: 6 s

// System calls that fail with the queued errors first and then reach the kernel.
class FailingCalls final : public net::SystemCalls {
 public:
  std::deque<int> accept_errors;
  int lasting_accept_error = 0;  // of all accepts after the queued errors; 0: none
  std::deque<int> socket_errors, bind_errors, listen_errors, connect_errors, pipe_errors, poll_errors;
  int lasting_poll_error = 0;
  int accepts = 0, polls = 0, pipes = 0, connects = 0, sleeps = 0;

  int accept(int fd, int flags) override {
    ++accepts;
    if (const int error = next(accept_errors, lasting_accept_error)) return fail(error);
    return SystemCalls::accept(fd, flags);
  }
  int poll(pollfd* descriptors, nfds_t count, int timeout_ms) override {
    ++polls;
    if (const int error = next(poll_errors, lasting_poll_error)) return fail(error);
    return SystemCalls::poll(descriptors, count, timeout_ms);
  }
  int socket(int domain, int type, int protocol) override {
    if (const int error = next(socket_errors)) return fail(error);
    return SystemCalls::socket(domain, type, protocol);
  }
  int bind(int fd, const sockaddr* address, socklen_t size) override {
    if (const int error = next(bind_errors)) return fail(error);
    return SystemCalls::bind(fd, address, size);
  }
  int listen(int fd, int backlog) override {
    if (const int error = next(listen_errors)) return fail(error);
    return SystemCalls::listen(fd, backlog);
  }
  int connect(int fd, const sockaddr* address, socklen_t size) override {
    ++connects;
    if (const int error = next(connect_errors)) return fail(error);
    return SystemCalls::connect(fd, address, size);
  }
  int nanosleep(const timespec* duration, timespec* remaining) override {
    ++sleeps;
    return SystemCalls::nanosleep(duration, remaining);
  }
  int pipe(int ends[2], int flags) override {
    ++pipes;
    if (const int error = next(pipe_errors)) return fail(error);
    return SystemCalls::pipe(ends, flags);
  }

 private:
  static int next(std::deque<int>& errors, int lasting = 0) {
    if (errors.empty()) return lasting;
    const int error = errors.front();
    errors.pop_front();
    return error;
  }
  static int fail(int error) {
    errno = error;
    return -1;
  }
};

// The front of an invoker whose system calls fail as the test sets.
struct FrontUnderFaults {
  explicit FrontUnderFaults(std::size_t hosts = 0) : world(hosts) { REQUIRE(front.listen("127.0.0.1:0")); }
  World world;
  resp::Front front{world.loop, world.pool, world.dispatcher, world.counters, {}};
  FailingCalls calls;
  net::ScopedSystemCalls scope{calls};
};

// A client that sends one request on connecting, by default CHECK.
class CheckingClient final : public net::Stream {
 public:
  explicit CheckingClient(FrontUnderFaults& server,
                          const std::vector<std::string_view>& words = {"CHECK", "1", ""})
      : Stream(server.world.loop, server.world.pool, net::connect_to(server.front.address()), true) {
    std::string request;
    resp::write_array(request, words);
    write(request);
  }
  bool answered() const { return !answers_.empty(); }
  // The status word of the first answer.
  const std::string& word() const { return answers_.at(0).at(1); }

 private:
  resp::Parser parser_;
  std::vector<resp::Words> answers_;
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override { REQUIRE(parser_.take(bytes, answers_)); }
  void ended() override {}
};

TEST_CASE("after a shortage of descriptors or memory while no client is connected, a later accept succeeds") {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    CAPTURE(error);
    FrontUnderFaults server;
    server.calls.accept_errors = {error, error, error};
    CheckingClient client(server);
    CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
    CHECK(server.world.counters.value(core::Counter::resp_no_descriptor) == 3);
  }
}

TEST_CASE("accepting during a lasting shortage of descriptors is retried with backoff, at a bounded cost") {
  FrontUnderFaults server;
  server.calls.lasting_accept_error = ENFILE;
  CheckingClient client(server);
  const Millis end = server.world.loop.now() + Millis(600);
  while (server.world.loop.now() < end) server.world.turn();
  // Retries come after 5, 15 and 35 ms, then every 20 ms, and none earlier.
  CHECK(server.calls.accepts >= 2);
  CHECK(server.calls.accepts <= 32);
  server.calls.lasting_accept_error = 0;
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

// The client's time counts from its last byte, also while its connection waits to be accepted.
TEST_CASE("a call that waited for its connection to be accepted has that much less time") {
  const Millis wait{200};
  FrontUnderFaults server(1);
  const auto call_with = [](int allow) {
    return "ref=00000000000000a1,allow=" + std::to_string(allow) +
           ",lookup=00000000000000a1,spec=memory_mb:300;lanes:4";
  };
  const int allow = GENERATE(1400, 150);
  const std::string fields = call_with(allow);
  server.calls.lasting_accept_error = EMFILE;
  CheckingClient client(server, {"CALL", "1", "bin-record", fields, "x"});
  REQUIRE(server.world.turn_until([&] { return server.calls.accepts > 0; }, kMaxTurns));
  const Millis end = server.world.loop.now() + wait;
  while (server.world.loop.now() < end) server.world.turn();
  server.calls.lasting_accept_error = 0;
  REQUIRE(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
  if (Millis(allow) > wait) {
    CHECK(client.word() == "OK");
    const auto exec_fields = net::parse_fields(server.world.host[0]->last_fields);
    REQUIRE(exec_fields);
    const auto timeout = net::parse_whole(net::field(*exec_fields, "patience"), UINT64_MAX);
    REQUIRE(timeout);
    CHECK(Millis(static_cast<double>(*timeout)) <= Millis(allow) - wait);
  } else {
    CHECK(client.word() == "BUSY");
    CHECK(server.world.host[0]->execs == 0);
  }
}

TEST_CASE(
    "an accept that fails with an error of the connection is followed by the next one in the same turn") {
  const std::array<int, 12> errors{EINTR,        ECONNABORTED, EPROTO,      EPERM,
                                   ENETDOWN,     ENOPROTOOPT,  EHOSTDOWN,   ENONET,
                                   EHOSTUNREACH, EOPNOTSUPP,   ENETUNREACH, ETIMEDOUT};
  FrontUnderFaults server;
  server.calls.accept_errors.assign(errors.begin(), errors.end());
  CheckingClient client(server);
  REQUIRE(server.world.turn_until([&] { return server.calls.accepts > 0; }, kMaxTurns));
  // One more accept takes the client, and another one finds no connection.
  CHECK(server.calls.accepts == static_cast<int>(errors.size()) + 2);
  CHECK(server.world.counters.value(core::Counter::resp_accept_failed) == errors.size());
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

TEST_CASE("the number of failing accepts in one turn is bounded") {
  FrontUnderFaults server;
  server.calls.lasting_accept_error = ECONNABORTED;
  CheckingClient client(server);
  REQUIRE(server.world.turn_until([&] { return server.calls.accepts > 0; }, kMaxTurns));
  CHECK(server.calls.accepts == 64);
  server.calls.lasting_accept_error = 0;
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

TEST_CASE("connections in the backlog when listening ends are served even if accepts fail") {
  for (const int error : {ECONNABORTED, EINTR, ENFILE, ENOMEM}) {
    CAPTURE(error);
    FrontUnderFaults server;
    std::list<CheckingClient> clients;
    for (int i = 0; i < 5; ++i) clients.emplace_back(server);
    server.calls.accept_errors = {error};
    bool closed = server.front.stop_listening();
    REQUIRE(server.world.turn_until([&] { return closed || (closed = server.front.stop_listening()); },
                                    kMaxTurns));
    for (auto& client : clients) {
      CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
    }
  }
}

TEST_CASE("a failure to open the listener is reported with its error, transient or permanent") {
  FailingCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.socket_errors = {ENFILE};
  CHECK(net::listen_on("127.0.0.1:0").error == std::errc::too_many_files_open_in_system);
  calls.bind_errors = {EADDRINUSE, EACCES};
  CHECK(net::listen_on("127.0.0.1:0").error == std::errc::address_in_use);
  CHECK(net::listen_on("127.0.0.1:0").error == std::errc::permission_denied);
  calls.listen_errors = {ENOBUFS};
  CHECK(net::listen_on("127.0.0.1:0").error == std::errc::no_buffer_space);
  CHECK(net::listen_on("no address").error == std::errc::invalid_argument);
  const net::ListenResult result = net::listen_on("127.0.0.1:0");
  CHECK(result.socket);
  CHECK_FALSE(result.error);
  const auto is_transient = [](int error) {
    return net::is_transient_listen_error({error, std::generic_category()});
  };
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRINUSE, EADDRNOTAVAIL}) {
    CHECK(is_transient(error));
  }
  for (const int error : {EACCES, EINVAL, EAFNOSUPPORT, EPROTONOSUPPORT}) CHECK_FALSE(is_transient(error));
}

TEST_CASE("a front whose listener could not be opened can listen later") {
  World world(0);
  resp::Front front(world.loop, world.pool, world.dispatcher, world.counters, {});
  FailingCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.socket_errors = {ENOBUFS};
  CHECK_FALSE(front.listen("127.0.0.1:0"));
  CHECK(front.listen_error() == std::errc::no_buffer_space);
  CHECK(front.listen("127.0.0.1:0"));
  CHECK_FALSE(front.listen_error());
}

TEST_CASE("a poll that fails with ENOMEM or EINVAL does not spin, and timers still fire") {
  for (const int error : {ENOMEM, EINVAL}) {
    CAPTURE(error);
    net::Loop loop;
    FailingCalls calls;
    const net::ScopedSystemCalls scope(calls);
    calls.lasting_poll_error = error;
    bool fired = false;
    const Millis due = loop.now() + Millis(100);
    loop.at(due, [&] { fired = true; });
    while (!fired && calls.polls < 1000) loop.turn(due + Millis(60000), [] {});
    CHECK(fired);
    CHECK(calls.polls <= 20);  // each is followed by a pause of 10 ms
    CHECK(calls.sleeps == calls.polls);
  }
}

TEST_CASE("a poll that is interrupted by a signal is repeated at once") {
  FrontUnderFaults server;
  CheckingClient client(server);
  server.calls.poll_errors.assign(200, EINTR);
  REQUIRE(server.world.turn_until([&] { return server.calls.polls >= 200; }, kMaxTurns));
  CHECK(server.calls.sleeps == 0);
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

// Restores the actions of all signals that the program handles.
class ScopedSignalActions {
 public:
  ScopedSignalActions() {
    for (std::size_t i = 0; i < kSignals.size(); ++i) sigaction(kSignals[i], nullptr, &previous_[i]);
  }
  ~ScopedSignalActions() {
    for (std::size_t i = 0; i < kSignals.size(); ++i) sigaction(kSignals[i], &previous_[i], nullptr);
  }
  ScopedSignalActions(const ScopedSignalActions&) = delete;
  ScopedSignalActions& operator=(const ScopedSignalActions&) = delete;

 private:
  static constexpr std::array<int, 5> kSignals{SIGTERM, SIGINT, SIGUSR1, SIGHUP, SIGPIPE};
  std::array<struct sigaction, 5> previous_{};
};

TEST_CASE(
    "a transient shortage of descriptors at the start delays the signal pipe; signals work afterwards") {
  const ScopedSignalActions actions;
  net::Loop loop;
  FailingCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.pipe_errors = {EMFILE, ENFILE, ENOMEM};
  app::SignalPipe signals(loop);
  CHECK(calls.pipes == 4);
  CHECK(calls.sleeps == 3);
  raise(SIGHUP);
  loop.turn(loop.now() + Millis(1000), [] {});
  CHECK(signals.take().reload);
}

TEST_CASE("a permanent error of the signal pipe ends the start with an exception that names it") {
  const ScopedSignalActions actions;
  net::Loop loop;
  FailingCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.pipe_errors = {EINVAL};
  CHECK_THROWS_WITH(app::SignalPipe(loop), Catch::Contains("Invalid argument"));
  CHECK(calls.pipes == 1);
}

TEST_CASE("a signal handler preserves errno of the interrupted code") {
  constexpr int kPipeBytes = 1 << 16;  // the kernel's default: further writes fail
  const ScopedSignalActions actions;
  net::Loop loop;
  app::SignalPipe signals(loop);
  errno = 0;
  for (int i = 0; i <= kPipeBytes && errno == 0; ++i) raise(SIGUSR1);
  CHECK(errno == 0);
  CHECK(signals.take().print_counters);
}

TEST_CASE("a transient local failure to connect to the membership log is retried with backoff") {
  net::Loop loop;
  net::BufferPool pool(64);
  core::Counters counters;
  StandInLog log(loop, pool);
  log.truncates_replies = false;
  std::size_t events = 0;
  feed::MembershipClient client(loop, pool, counters, log.server.address(), feed::EventSequence(0),
                                [&](const core::MemberList&) { ++events; });
  FailingCalls calls;
  const net::ScopedSystemCalls scope(calls);
  calls.socket_errors = {ENFILE};
  calls.connect_errors = {EADDRNOTAVAIL, ENETUNREACH};
  const Millis started = loop.now();
  client.start();
  for (int i = 0; i < kMaxTurns && events < log.events; ++i) loop.turn(loop.now() + Millis(20), [] {});
  CHECK(events == log.events);
  CHECK(calls.connects >= 3);
  CHECK((loop.now() - started).count() >= 25 + 50 + 100);  // the shortest delays with jitter: none is skipped
}

}  // namespace
}  // namespace pathstack::test

// System calls that fail for a moment, over real connections.
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <deque>
#include <list>

#include "net/system_calls.h"
#include "resp/front.h"
#include "resp/parser.h"
#include "support/world.h"

namespace lotusyard::test {
namespace {

constexpr int kMaxTurns = 300;  // of 20 ms at most: 6 s

// The kernel's calls, of which the next ones fail with the given errors.
class FailingCalls final : public net::SystemCalls {
 public:
  std::deque<int> accept_errors;
  int lasting_accept_error = 0;  // of all further accepts, unless 0
  int accepts = 0, polls = 0;

  int accept(int fd, int flags) override {
    ++accepts;
    if (const int error = next(accept_errors, lasting_accept_error)) return fail(error);
    return SystemCalls::accept(fd, flags);
  }
  int poll(pollfd* descriptors, nfds_t count, int timeout_ms) override {
    ++polls;
    return SystemCalls::poll(descriptors, count, timeout_ms);
  }

 private:
  static int next(std::deque<int>& errors, int lasting) {
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

// An invoker's front without hosts, whose system calls fail as told.
struct FrontUnderFaults {
  World world{0};
  resp::Front front{world.loop, world.pool, world.dispatcher, world.counters, {}};
  FailingCalls calls;
  net::ScopedSystemCalls scope{calls};

  FrontUnderFaults() { REQUIRE(front.listen("127.0.0.1:0")); }
};

// A client that asks one CHECK.
class CheckingClient final : public net::Stream {
 public:
  explicit CheckingClient(FrontUnderFaults& server)
      : Stream(server.world.loop, server.world.pool, net::connect_to(server.front.address()), true) {
    std::string request;
    resp::write_array(request, {"CHECK", "1", ""});
    write(request);
  }
  bool answered() const { return !answers_.empty(); }

 private:
  resp::Parser parser_;
  std::vector<resp::Words> answers_;
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override { REQUIRE(parser_.take(bytes, answers_)); }
  void ended() override {}
};

TEST_CASE("a shortage of descriptors or memory while no client is connected ends with a later accept") {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    CAPTURE(error);
    FrontUnderFaults server;
    server.calls.accept_errors = {error, error, error};
    CheckingClient client(server);
    CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
    CHECK(server.world.counters.value("resp.no_descriptor") == 3);
  }
}

TEST_CASE("a lasting shortage of descriptors is retried with a backoff, at a bounded cost") {
  FrontUnderFaults server;
  server.calls.lasting_accept_error = ENFILE;
  CheckingClient client(server);
  const Millis end = server.world.loop.now() + Millis(600);
  while (server.world.loop.now() < end) server.world.turn();
  // After 10, 30, 70, 150, 310 and 630 ms, none sooner.
  CHECK(server.calls.accepts >= 2);
  CHECK(server.calls.accepts <= 6);
  server.calls.lasting_accept_error = 0;
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

TEST_CASE("an accept that fails with the connection's own error is followed by the next in the same turn") {
  const std::array<int, 12> errors{EINTR,        ECONNABORTED, EPROTO,      EPERM,
                                   ENETDOWN,     ENOPROTOOPT,  EHOSTDOWN,   ENONET,
                                   EHOSTUNREACH, EOPNOTSUPP,   ENETUNREACH, ETIMEDOUT};
  FrontUnderFaults server;
  server.calls.accept_errors.assign(errors.begin(), errors.end());
  CheckingClient client(server);
  REQUIRE(server.world.turn_until([&] { return server.calls.accepts > 0; }, kMaxTurns));
  CHECK(server.calls.accepts == static_cast<int>(errors.size()) + 2);  // the client, and none waiting
  CHECK(server.world.counters.value("resp.accept_failed") == errors.size());
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

TEST_CASE("accepts that fail again and again are bounded in a turn") {
  FrontUnderFaults server;
  server.calls.lasting_accept_error = ECONNABORTED;
  CheckingClient client(server);
  REQUIRE(server.world.turn_until([&] { return server.calls.accepts > 0; }, kMaxTurns));
  CHECK(server.calls.accepts == 64);
  server.calls.lasting_accept_error = 0;
  CHECK(server.world.turn_until([&] { return client.answered(); }, kMaxTurns));
}

TEST_CASE("connections that wait when listening ends are served though accepts fail") {
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

}  // namespace
}  // namespace lotusyard::test

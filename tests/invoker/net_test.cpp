// Tests of output buffers and of timers of the event loop.
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "net/loop.h"
#include "net/stream.h"
#include "support/random.h"
#include "support/settings.h"

namespace pathstack::test {
namespace {

TEST_CASE("queued bytes arrive in order, and their blocks are returned to the pool") {
  Random random(8);
  net::BufferPool pool(8);
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const net::Socket out(ends[0]), in(ends[1]);
  net::Outbox box(pool);
  std::string sent, got;
  const auto read = [&] {
    char bytes[5000];
    const ssize_t size = recv(in.fd(), bytes, sizeof bytes, 0);
    if (size > 0) got.append(bytes, static_cast<std::size_t>(size));
  };
  for (int round = 0; round < 400; ++round) {
    const std::string part(below(random, 3000), static_cast<char>('a' + round % 26));
    sent += part;
    REQUIRE(box.append(part));
    if (below(random, 2) == 0) CHECK(box.write_to(out.fd()) != net::Outbox::WriteStatus::failed);
    if (below(random, 2) == 0) read();
    while (pool.blocks_in_use() > 4) {
      box.write_to(out.fd());
      read();
    }
  }
  while (got.size() < sent.size()) {
    box.write_to(out.fd());
    read();
  }
  CHECK(got == sent);
  CHECK(box.appended() == sent.size());
  CHECK(box.written() == sent.size());
  CHECK(pool.blocks_in_use() == 0);
}

TEST_CASE("the pool does not exceed its limit, and an append beyond it fails") {
  net::BufferPool pool(2);
  {
    net::Outbox box(pool);
    CHECK(box.append(std::string(2 * net::BufferPool::kBlockSize, 'x')));
    CHECK_FALSE(box.append("x"));
    CHECK(pool.blocks_in_use() == 2);
  }
  CHECK(pool.blocks_in_use() == 0);
}

TEST_CASE("timers fire in order, and a cancelled timer does not fire") {
  net::Loop loop;
  std::string fired;
  const Millis now = loop.now();
  loop.at(now + Millis(3), [&] { fired += 'c'; });
  loop.at(now + Millis(1), [&] { fired += 'a'; });
  const auto cancelled = loop.at(now + Millis(2), [&] { fired += 'x'; });
  loop.at(now + Millis(2), [&] { fired += 'b'; });
  loop.cancel(cancelled);
  for (int i = 0; i < 1000 && fired.size() < 3; ++i) loop.turn(now + Millis(10), [] {});
  CHECK(fired == "abc");
}

}  // namespace
}  // namespace pathstack::test

#include "feed/watch_connection.h"

#include <utility>
#include <vector>

namespace pathstack::feed {

WatchConnection::WatchConnection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters,
                                 net::Socket socket, WatchOwner& owner, const StalenessTimeout& staleness,
                                 core::Millis connect_timeout, std::size_t max_line_bytes)
    : Stream(loop, pool, std::move(socket), true),
      counters_(counters),
      owner_(owner),
      staleness_(staleness),
      splitter_(max_line_bytes) {
  restart_timer(silence_timer_, connect_timeout, [this] { end_counted(core::Counter::feed_connect_late); });
}

WatchConnection::~WatchConnection() { cancel_timers(); }

void WatchConnection::connected() {
  counters_.add(core::Counter::feed_connections);
  write("since " + std::to_string(owner_.last_sequence()) + "\n");
  expect_bytes();
  expect_line();
}

void WatchConnection::received(std::string_view bytes) {
  if (!owner_.is_current(*this)) return;
  expect_bytes();
  std::vector<std::string> lines;
  const bool fits = splitter_.take(bytes, lines);
  for (const auto& line : lines) {
    if (!owner_.on_line(line)) return end_counted(core::Counter::feed_malformed_or_gap);
  }
  if (!fits) return end_counted(core::Counter::feed_malformed_or_gap);
  if (!lines.empty()) expect_line();
}

void WatchConnection::ended() {
  cancel_timers();
  owner_.on_ended(*this);
}

void WatchConnection::expect_bytes() {
  restart_timer(silence_timer_, staleness_.silence(), [this] {
    owner_.on_silence_expired(*this);
    end_counted(core::Counter::feed_quiet);
  });
}

void WatchConnection::expect_line() {
  restart_timer(line_timer_, staleness_.line(), [this] {
    owner_.on_line_expired(*this);
    end_counted(core::Counter::feed_line_late);
  });
}

void WatchConnection::restart_timer(net::Loop::TimerId& timer, core::Millis timeout,
                                    std::function<void()> callback) {
  loop().cancel(timer);
  timer = loop().at(loop().now() + timeout, std::move(callback));
}

void WatchConnection::cancel_timers() {
  loop().cancel(silence_timer_);
  loop().cancel(line_timer_);
}

void WatchConnection::end_counted(core::Counter reason) {
  counters_.add(reason);
  end_later();
}

}  // namespace pathstack::feed

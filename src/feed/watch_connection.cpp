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
  restart_timer(silence_timer_, connect_timeout,
                [this] { end_with_reason(core::Counter::feed_connect_late); });
}

WatchConnection::~WatchConnection() { cancel_timers(); }

void WatchConnection::connected() {
  counters_.add(core::Counter::feed_connections);
  const std::uint64_t last = owner_.last_sequence();
  write("since " + std::to_string(last) + "\n");
  owner_.on_events_requested(last);
  restart_silence_timer();
  restart_line_timer();
}

void WatchConnection::received(std::string_view bytes) {
  if (!owner_.is_current(*this)) return;
  restart_silence_timer();
  std::vector<std::string> lines;
  const bool fits = splitter_.take(bytes, lines);
  for (const auto& line : lines) {
    if (!owner_.on_line(line)) return end_with_reason(core::Counter::feed_malformed_or_gap);
  }
  if (!fits) return end_with_reason(core::Counter::feed_malformed_or_gap);
  if (!lines.empty()) restart_line_timer();
}

void WatchConnection::ended() {
  cancel_timers();
  owner_.on_ended(*this);
}

void WatchConnection::restart_silence_timer() {
  restart_timer(silence_timer_, staleness_.silence(), [this] {
    owner_.on_silence_timeout(*this);
    end_with_reason(core::Counter::feed_quiet);
  });
}

void WatchConnection::restart_line_timer() {
  restart_timer(line_timer_, staleness_.line(), [this] {
    owner_.on_line_timeout(*this);
    end_with_reason(core::Counter::feed_line_late);
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

void WatchConnection::end_with_reason(core::Counter reason) {
  if (own_end_reason_.empty()) own_end_reason_ = core::counter_info(reason).name;
  counters_.add(reason);
  end_later();
}

std::string_view WatchConnection::end_reason() const {
  if (!own_end_reason_.empty()) return own_end_reason_;
  switch (end_cause()) {
    case net::StreamEnd::local: return "local";
    case net::StreamEnd::closed_by_peer: return "closed_by_log";
    case net::StreamEnd::reset_by_peer: return "reset_or_refused";
    case net::StreamEnd::network_failure: break;
  }
  return "network_failure";
}

}  // namespace pathstack::feed

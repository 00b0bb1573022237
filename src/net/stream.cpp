#include "net/stream.h"

#include <cerrno>
#include <utility>

#include "net/system_calls.h"

namespace pathstack::net {
namespace {

constexpr int kReadsPerTurn = 8;  // a busy peer must not starve the others

StreamEnd end_cause_of(int error) {
  const bool by_peer = error == ECONNRESET || error == EPIPE || error == ECONNREFUSED;
  return by_peer ? StreamEnd::reset_by_peer : StreamEnd::network_failure;
}

}  // namespace

Stream::Stream(Loop& loop, BufferPool& pool, Socket socket, bool connecting)
    : loop_(loop),
      socket_(std::move(socket)),
      outbox_(pool, [this] { outbox_discarded(); }),
      phase_(connecting ? Phase::connecting : Phase::established) {
  if (!socket_) phase_ = Phase::closed;
  if (socket_) watch();
}

Stream::~Stream() {
  loop_.cancel(linger_timer_);
  loop_.cancel(resume_timer_);
  loop_.unwatch(socket_.fd(), *this);
}

void Stream::watch() {
  const int reads = reading_paused_ ? POLLRDHUP : POLLIN;
  const bool writes = connecting() || !outbox_.empty();
  loop_.watch(socket_.fd(), *this, static_cast<short>((connecting() ? 0 : reads) | (writes ? POLLOUT : 0)));
}

void Stream::pause_reading(Millis delay) {
  if (!socket_ || phase_ == Phase::lingering) return;
  loop_.cancel(resume_timer_);
  resume_timer_ = loop_.at(loop_.now() + delay, [this] { resume_reading(); });
  reading_paused_ = true;
  watch();
}

void Stream::resume_reading() {
  if (!socket_ || !reading_paused_) return;
  loop_.cancel(resume_timer_);
  reading_paused_ = false;
  watch();
}

void Stream::write(std::string_view bytes) {
  if (ending()) return;
  // The stream would have a gap that the peer cannot parse.
  if (!outbox_.append(bytes)) return end_later();
  if (!connecting()) loop_.flush_later(*this);
}

bool Stream::flush_now() {
  if (connecting() || ending()) return false;
  const auto status = outbox_.write_to(socket_.fd());
  if (status == Outbox::WriteStatus::failed) {
    set_end_cause(end_cause_of(errno));
    end_later();
    return false;
  }
  watch();
  return status == Outbox::WriteStatus::complete;
}

void Stream::flush() {
  if (!end_requested_) flush_now();
  const bool is_shutdown_due = ends_when_written_ && outbox_.empty() && !ending();
  if (is_shutdown_due && may_shut_down()) linger();
  if (end_requested_) end();
}

// Closing a socket with unread input sends a reset, which discards bytes that the peer has not received yet.
// So sending is shut down first, and input is read until the peer has closed.
void Stream::linger() {
  const bool nothing_to_lose = outbox_.appended() == 0;
  if (nothing_to_lose || system_calls().shutdown(socket_.fd(), SHUT_WR) != 0) {
    end_requested_ = true;
    return;
  }
  resume_reading();
  phase_ = Phase::lingering;
  discards_input_ = true;
  linger_timer_ = loop_.at(loop_.now() + kLingerTimeout, [this] { end_later(); });
}

void Stream::discard_input(std::size_t size) {
  if (phase_ != Phase::lingering) return;
  discarded_after_shutdown_ += size;
  if (discarded_after_shutdown_ > kLingerMaxBytes) end_later();
}

void Stream::end_later() {
  if (!socket_) return;
  end_requested_ = true;
  loop_.flush_later(*this);
}

void Stream::end_when_written() {
  if (!socket_) return;
  ends_when_written_ = true;
  loop_.flush_later(*this);
}

bool Stream::has_input() const {
  pollfd descriptor{socket_.fd(), POLLIN, 0};
  // After a failed poll the state is unknown, so input is assumed.
  return system_calls().poll(&descriptor, 1, 0) != 0;
}

bool Stream::closed_by_peer() const {
  pollfd descriptor{socket_.fd(), POLLRDHUP, 0};
  return system_calls().poll(&descriptor, 1, 0) > 0;
}

void Stream::outbox_discarded() {
  backlog_discarded();
  end_later();
}

void Stream::set_end_cause(StreamEnd cause) {
  if (end_cause_ == StreamEnd::local) end_cause_ = cause;
}

void Stream::end() {
  if (!socket_) return;
  loop_.cancel(linger_timer_);
  loop_.cancel(resume_timer_);
  loop_.unwatch(socket_.fd(), *this);
  socket_.close();
  phase_ = Phase::closed;
  ended();
}

void Stream::ready(short events) {
  if (connecting()) {
    const int error = pending_error(socket_);
    if (error != 0 || (events & (POLLERR | POLLNVAL)) != 0) {
      set_end_cause(end_cause_of(error));
      return end();
    }
    if ((events & POLLOUT) == 0) return;
    phase_ = Phase::established;
    watch();
    return connected();
  }
  if ((events & POLLOUT) != 0) loop_.flush_later(*this);
  if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) resume_reading();
  if ((events & (POLLIN | POLLRDHUP | POLLHUP | POLLERR)) != 0) read();
}

void Stream::read() {
  auto& block = loop_.read_buffer();
  for (int i = 0; i < kReadsPerTurn && socket_ && !end_requested_ && !reading_paused_; ++i) {
    const ssize_t size_read = system_calls().receive(socket_.fd(), block.data(), block.size());
    if (size_read < 0 && errno == EINTR) continue;
    if (size_read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (size_read <= 0) {
      set_end_cause(size_read == 0 ? StreamEnd::closed_by_peer : end_cause_of(errno));
      return end();
    }
    const auto size = static_cast<std::size_t>(size_read);
    if (discards_input_) {
      discard_input(size);
    } else {
      received(std::string_view(block.data(), size));
    }
    if (size < block.size()) return;
  }
}

}  // namespace pathstack::net

#include "resp/listener.h"

#include <algorithm>
#include <utility>

namespace pathstack::resp {
namespace {

constexpr std::size_t kMaxAcceptsPerTurn = 64;
constexpr int kMaxAcceptRoundsAtStop = 16;  // of kMaxAcceptsPerTurn each: more than the kernel's queue holds
// Calls may wait on connections that the kernel has accepted already, so the pause is short.
constexpr core::Millis kMinBackoff{5}, kMaxBackoff{20};

// False: the next accept has to wait for a connection, or for a descriptor.
bool may_have_more(net::AcceptStatus status) {
  return status == net::AcceptStatus::accepted || status == net::AcceptStatus::connection_failed;
}

}  // namespace

Listener::Listener(net::Loop& loop, core::Counters& counters, ListenerObserver& observer)
    : loop_(loop), counters_(counters), observer_(observer) {}

Listener::~Listener() {
  loop_.cancel(resume_timer_);
  if (socket_) loop_.unwatch(socket_.fd(), *this);
}

std::error_code Listener::listen(const std::string& address) {
  net::ListenResult result = net::listen_on(address);
  socket_ = std::move(result.socket);
  if (socket_) loop_.watch(socket_.fd(), *this, POLLIN);
  return result.error;
}

bool Listener::stop() {
  if (!socket_) return true;
  auto status = net::AcceptStatus::accepted;
  for (int i = 0; i < kMaxAcceptRoundsAtStop && may_have_more(status); ++i) status = accept_some();
  if (status != net::AcceptStatus::none_waiting) return false;
  loop_.cancel(resume_timer_);
  loop_.unwatch(socket_.fd(), *this);
  socket_.close();
  return true;
}

void Listener::ready(short) { accept_some(); }

net::AcceptStatus Listener::accept_some() {
  auto status = net::AcceptStatus::accepted;
  for (std::size_t i = 0; i < kMaxAcceptsPerTurn && may_have_more(status); ++i) {
    net::AcceptResult result = net::accept_from(socket_);
    status = result.status;
    if (status == net::AcceptStatus::connection_failed) counters_.add(core::Counter::resp_accept_failed);
    if (status != net::AcceptStatus::accepted) continue;
    counters_.add(core::Counter::resp_connections);
    backoff_ = core::Millis(0);
    observer_.on_accepted(std::move(result.socket), waiting_since_);
  }
  if (status == net::AcceptStatus::none_waiting) waiting_since_.reset();
  if (status == net::AcceptStatus::retry_later) {
    counters_.add(core::Counter::resp_no_descriptor);
    pause();
  }
  return status;
}

void Listener::pause() {
  if (paused_) return;
  paused_ = true;
  if (!waiting_since_) waiting_since_ = loop_.turn_began();
  loop_.unwatch(socket_.fd(), *this);
  backoff_ = std::min(std::max(backoff_ * 2, kMinBackoff), kMaxBackoff);
  resume_timer_ = loop_.at(loop_.now() + backoff_, [this] { resume(); });
}

void Listener::resume() {
  if (!paused_ || !socket_) return;
  paused_ = false;
  loop_.cancel(resume_timer_);
  loop_.watch(socket_.fd(), *this, POLLIN);
}

}  // namespace pathstack::resp

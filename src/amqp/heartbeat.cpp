#include "amqp/heartbeat.h"

#include <utility>

namespace pathstack::amqp {
namespace {

constexpr double kHeartbeatsPerInterval = 2;  // so that the broker tolerates one that is late
constexpr double kPeerTimeoutIntervals = 2;   // of silence before the peer is considered dead

}  // namespace

Heartbeat::Heartbeat(net::Loop& loop, std::function<void()> send, std::function<void()> on_peer_timeout)
    : loop_(loop), send_(std::move(send)), on_peer_timeout_(std::move(on_peer_timeout)) {}

Heartbeat::~Heartbeat() { stop(); }

void Heartbeat::start(std::chrono::seconds interval) {
  interval_ = interval;
  if (!enabled()) return;
  send();
  on_peer_activity();
}

void Heartbeat::on_peer_activity() {
  if (!enabled()) return;
  loop_.cancel(peer_timeout_timer_);
  peer_timeout_timer_ =
      loop_.at(loop_.now() + interval_ * kPeerTimeoutIntervals, [this] { on_peer_timeout_(); });
}

void Heartbeat::stop() {
  loop_.cancel(send_timer_);
  loop_.cancel(peer_timeout_timer_);
}

void Heartbeat::send() {
  send_();
  send_timer_ = loop_.at(loop_.now() + interval_ / kHeartbeatsPerInterval, [this] { send(); });
}

}  // namespace pathstack::amqp

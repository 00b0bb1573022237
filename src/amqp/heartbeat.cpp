#include "amqp/heartbeat.h"

#include <utility>

namespace pathstack::amqp {
namespace {

constexpr double kHeartbeatsPerInterval = 2;  // one may be late without the broker ending the connection
constexpr double kSilentIntervals = 2;        // after which the peer counts as dead

}  // namespace

Heartbeat::Heartbeat(net::Loop& loop, std::function<void()> send, std::function<void()> on_peer_silent)
    : loop_(loop), send_(std::move(send)), on_peer_silent_(std::move(on_peer_silent)) {}

Heartbeat::~Heartbeat() { stop(); }

void Heartbeat::start(std::chrono::seconds interval) {
  interval_ = interval;
  if (!enabled()) return;
  send();
  peer_active();
}

void Heartbeat::peer_active() {
  if (!enabled()) return;
  loop_.cancel(silence_timer_);
  silence_timer_ = loop_.at(loop_.now() + interval_ * kSilentIntervals, [this] { on_peer_silent_(); });
}

void Heartbeat::stop() {
  loop_.cancel(send_timer_);
  loop_.cancel(silence_timer_);
}

void Heartbeat::send() {
  send_();
  send_timer_ = loop_.at(loop_.now() + interval_ / kHeartbeatsPerInterval, [this] { send(); });
}

}  // namespace pathstack::amqp

// Heartbeats of a connection (AMQP 0-9-1, 4.2.7).
#pragma once

#include <chrono>
#include <functional>

#include "net/loop.h"

namespace pathstack::amqp {

/// Sends heartbeats twice in each interval, and tells when the peer sent nothing for two intervals.
///
/// Owned by Channel; used on the loop's thread. Owns two timers, which end with it. Every call is O(log of
/// the loop's timers).
class Heartbeat {
 public:
  /// `send` writes a heartbeat frame; `on_peer_timeout` is called when the peer counts as dead.
  Heartbeat(net::Loop& loop, std::function<void()> send, std::function<void()> on_peer_timeout);
  ~Heartbeat();
  Heartbeat(const Heartbeat&) = delete;
  Heartbeat& operator=(const Heartbeat&) = delete;

  /// Sends the first heartbeat and begins to watch the peer. An interval of 0 means no heartbeats at all.
  void start(std::chrono::seconds interval);

  /// Called for whatever comes from the peer: any traffic stands for a heartbeat.
  void on_peer_activity();

  /// Ends both timers.
  void stop();

 private:
  net::Loop& loop_;
  std::function<void()> send_;
  std::function<void()> on_peer_timeout_;
  net::Millis interval_{0};
  net::Loop::TimerId send_timer_{};
  net::Loop::TimerId peer_timeout_timer_{};

  bool enabled() const { return interval_.count() > 0; }
  void send();
};

}  // namespace pathstack::amqp

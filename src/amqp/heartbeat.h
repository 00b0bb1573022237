/// Connection heartbeats (AMQP 0-9-1, 4.2.7).
#pragma once

#include <chrono>
#include <functional>

#include "net/loop.h"

namespace pathstack::amqp {

/// Sends two heartbeats per interval, and reports a peer that has sent nothing for two intervals.
///
/// Owned by Channel; used on the loop's thread. Owns two timers, which the destructor cancels. Each call is
/// O(log n) in the number of the loop's timers.
class Heartbeat {
 public:
  /// `send` writes a heartbeat frame; `on_peer_timeout` is called when the peer has been silent
  /// for two intervals.
  Heartbeat(net::Loop& loop, std::function<void()> send, std::function<void()> on_peer_timeout);
  ~Heartbeat();
  Heartbeat(const Heartbeat&) = delete;
  Heartbeat& operator=(const Heartbeat&) = delete;

  /// Sends the first heartbeat and starts the peer timeout. An interval of 0 disables heartbeats.
  void start(std::chrono::seconds interval);

  /// Restarts the peer timeout. Called for any bytes from the peer, as any traffic substitutes for a
  /// heartbeat.
  void on_peer_activity();

  /// Cancels both timers.
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

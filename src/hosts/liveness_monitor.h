/// Checks one connection to a host while anything is open on it, and ends it when the host has failed.
#pragma once

#include <cstdint>

#include "core/counters.h"
#include "hosts/liveness.h"
#include "hosts/open_attempts.h"
#include "hosts/open_requests.h"
#include "net/loop.h"
#include "net/stream.h"

namespace pathstack::hosts {

/// Owns the timer of a connection's liveness checks and acts on the verdicts of `Liveness`: sends health
/// checks, and ends a connection whose host is silent, stops in the midst of an answer, or takes in no
/// attempt. Owned by a connection and used on its thread only. A check costs a walk of the open attempts.
class LivenessMonitor {
 public:
  /// The references must outlive this object. Without `probes` no health check is sent.
  LivenessMonitor(net::Loop& loop, net::Stream& stream, core::Counters& counters, OpenAttempts& attempts,
                  OpenRequests& requests, bool probes);
  ~LivenessMonitor() { stop(); }
  LivenessMonitor(const LivenessMonitor&) = delete;
  LivenessMonitor& operator=(const LivenessMonitor&) = delete;

  /// What is known of the connection. Its `sent` and `checked` are called by this class.
  Liveness& liveness() { return liveness_; }
  const Liveness& liveness() const { return liveness_; }

  /// Something was sent, or waits to be: checks go on until nothing is open.
  void watch();
  /// No check follows.
  void stop() { loop_.cancel(timer_); }

 private:
  net::Loop& loop_;
  net::Stream& stream_;
  core::Counters& counters_;
  OpenAttempts& attempts_;
  OpenRequests& requests_;
  bool probes_;
  Liveness liveness_;
  std::uint64_t health_checks_ = 0;
  bool timer_is_set_ = false;
  net::Loop::TimerId timer_{};

  void set_timer();
  void check();
  bool has_stalled_attempt(Millis now);
  void send_health_check(Millis now);
  void end_connection(core::Counter cause);
};

}  // namespace pathstack::hosts

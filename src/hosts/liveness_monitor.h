/// Monitors one connection to a host while any request is open on it, and ends the connection if the host has
/// failed.
#pragma once

#include <cstdint>

#include "core/counters.h"
#include "hosts/liveness.h"
#include "hosts/open_attempts.h"
#include "hosts/open_requests.h"
#include "net/loop.h"
#include "net/stream.h"

namespace pathstack::hosts {

/// Runs the periodic liveness check of a connection and acts on the state that `Liveness` reports: sends
/// health checks, and ends a connection whose host is unresponsive, stops in the middle of an answer, or does
/// not read an attempt. Owned by a connection and used on its thread only. Cost of a check: linear in the
/// open attempts.
class LivenessMonitor {
 public:
  /// The references must outlive this object. No health check is sent if `probes` is false.
  LivenessMonitor(net::Loop& loop, net::Stream& stream, core::Counters& counters, OpenAttempts& attempts,
                  OpenRequests& requests, bool probes);
  ~LivenessMonitor() { stop(); }
  LivenessMonitor(const LivenessMonitor&) = delete;
  LivenessMonitor& operator=(const LivenessMonitor&) = delete;

  /// The state of the connection. This class calls `sent` and `checked` of it; the owner reports the rest.
  Liveness& liveness() { return liveness_; }
  const Liveness& liveness() const { return liveness_; }

  /// Records that a message was sent or queued, and keeps checking until no request is open.
  void watch();
  /// Stops the periodic check.
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

/// Decides when a connection needs a health check and when its host has failed.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Tells a failed connection, on which nothing or never the rest of an answer arrives, from a connection to a
/// busy host. Calls that are open on a failed connection would otherwise wait until their deadlines, even
/// though the host may serve other connections well.
///
/// A health check is a probe and is paid for. A host that loads an instance for the only open call is silent
/// for many times the run time of the call, and each health check that it answers shows that it runs. So the
/// allowed silence doubles with each health check until a call is answered or an order ends.
///
/// Uses no clock and no socket; all operations take constant time.
class Liveness {
 public:
  /// The state of the connection. The owner sends a health check on `check_due`, and ends the connection on
  /// `answer_incomplete` and `unresponsive`.
  enum class Status { ok, check_due, answer_incomplete, unresponsive };

  /// Records that the connection is established.
  void connected(Millis now) { received_at_ = now; }
  /// Records that a message was written or queued.
  void sent(Millis now) { sent_at_ = now; }
  /// Records that bytes arrived. `partial`: the last answer is incomplete; `completed`: at least one answer
  /// was completed by these bytes.
  void received(Millis now, bool partial, bool completed);
  /// Records that a health check was written.
  void checked(Millis now);
  /// Resets the allowed silence, as a call was answered or a load order, probe or health check timed
  /// out.
  void reset_backoff() { checks_since_answer_ = 0; }

  /// True once the connection was established.
  bool ever_connected() const { return received_at_.count() != 0; }
  /// When bytes last arrived or the connection was established; 0 before.
  Millis last_received() const { return received_at_; }
  /// When bytes last arrived or a message was last sent.
  Millis last_used() const { return std::max(received_at_, sent_at_); }

  /// The state at `now`. `timeout` is that of the last attempt sent, `calls` the number of open attempts.
  Status evaluate(Millis now, Millis timeout, std::size_t calls) const;

 private:
  Millis received_at_{0}, sent_at_{0}, partial_since_{0}, checked_at_{0};
  int checks_since_answer_ = 0;  // health checks; each doubles the allowed silence
};

}  // namespace pathstack::hosts

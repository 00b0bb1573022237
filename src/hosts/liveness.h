/// When a connection needs a health check, and when it is taken for dead.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Distinguishes a connection over which nothing comes any more, or never the rest of an answer, from one to
/// a busy host. Whatever is open on such a connection would wait to its deadline, though its host serves
/// others well.
///
/// A health check is a probe that costs its host and is paid for. A host that loads an instance for the one
/// call open here is silent for many run times, and each check that it answers shows that it runs: the next
/// one is due after twice the time.
///
/// Knows no clock and no socket; all operations take constant time.
class Liveness {
 public:
  /// What has to be done with the connection: nothing, send a health check, or end it for one of two causes.
  enum class Status { ok, check_due, answer_incomplete, unresponsive };

  /// The connection is up.
  void connected(Millis now) { received_at_ = now; }
  /// Something was written, or waits to be.
  void sent(Millis now) { sent_at_ = now; }
  /// Bytes came. `partial`: an answer has begun and is not complete; `completed`: at least one became
  /// complete.
  void received(Millis now, bool partial, bool completed);
  /// A health check was written.
  void checked(Millis now);
  /// A call was answered, or an order ended without an answer: the next check is due early again.
  void reset_backoff() { checks_since_answer_ = 0; }

  /// True once the connection was up.
  bool ever_connected() const { return received_at_.count() != 0; }
  /// When bytes came last, or the connection came up; 0 before.
  Millis last_received() const { return received_at_; }
  /// When bytes came or something was sent last.
  Millis last_used() const { return std::max(received_at_, sent_at_); }

  /// What to do now. `timeout` is that of the last call sent, `calls` how many are open.
  Status evaluate(Millis now, Millis timeout, std::size_t calls) const;

 private:
  Millis received_at_{0}, sent_at_{0}, partial_since_{0}, checked_at_{0};
  int checks_since_answer_ = 0;  // to a call; each doubles the silence that is allowed
};

}  // namespace pathstack::hosts

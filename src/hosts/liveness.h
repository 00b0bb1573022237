// When a connection needs a health check, and when it is taken for dead.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Tells a connection over which nothing comes any more, or never the rest of an answer, from one to a busy
/// host. Such a connection would hold whatever is out on it to the deadline, though its host serves others
/// well.
///
/// A health check is a probe that costs its host and is paid for. A host that loads an instance for the one
/// call out here is silent for many run times, and each check that it answers shows that it runs: the next
/// one is due after twice the time.
///
/// Knows no clock and no socket; all operations take constant time.
class Liveness {
 public:
  enum class Verdict { fine, check_due, answer_cut_off, silent };

  /// The connection is up.
  void connected(Millis now) { heard_ = now; }
  /// Something was written, or waits to be.
  void sent(Millis now) { sent_ = now; }
  /// Bytes came. `partial`: an answer has begun and is not whole; `whole`: at least one became whole.
  void received(Millis now, bool partial, bool whole);
  /// A health check was written.
  void checked(Millis now);
  /// A call was answered, or an order ended without an answer: the next check is due early again.
  void reset_backoff() { checks_since_answer_ = 0; }

  bool ever_connected() const { return heard_.count() != 0; }
  Millis last_heard() const { return heard_; }
  Millis last_used() const { return std::max(heard_, sent_); }

  /// What to do now. `timeout` is that of the last call sent, `calls` how many are out.
  Verdict judge(Millis now, Millis timeout, std::size_t calls) const;

 private:
  Millis heard_{0}, sent_{0}, partial_since_{0}, checked_{0};
  int checks_since_answer_ = 0;  // to a call
};

}  // namespace pathstack::hosts

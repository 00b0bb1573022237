/// A call without a final answer yet, and the rules for its attempts.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace pathstack::core {

/// An attempt that has been sent and has not ended.
struct OpenAttempt {
  Attempt attempt;
  std::string host;
  Millis sent_at{0};
};

/// How an attempt of a call ended.
struct EndedAttempt {
  std::string host;
  Outcome outcome = Outcome::error;
};

/// Records what the attempts of one call prove and decides whether another one may be sent, independently of
/// the decision module: only one attempt is open at a time, their number is limited, and a call that must not
/// run twice gets no further attempt once it may have run. Owned by the dispatcher. Reads no clock; all
/// operations take constant time.
class OpenCall {
 public:
  /// `front` receives the answer. `runs_once`: the call must not run twice.
  OpenCall(Call&& call, Front& front, bool runs_once)
      : call_(std::move(call)), front_(&front), runs_once_(runs_once) {}

  const Call& call() const { return call_; }
  Front& front() const { return *front_; }
  /// The open attempt, if there is one.
  const std::optional<OpenAttempt>& attempt() const { return attempt_; }
  /// How long the client still waits at `now`; negative after the deadline.
  Millis time_left(Millis now) const { return call_.arrived + call_.client_timeout - now; }

  /// Takes the number of the next attempt. Numbers start at 0 and, like those of the module, also count
  /// attempts that were not sent.
  int take_attempt_number() { return next_attempt_++; }
  /// True if attempt `number` may be sent. Attempts that a local fault kept from being sent do not count
  /// against `max_attempts`; the backoff of `Hosts` limits their number.
  bool may_send(int number, int max_attempts) const {
    const bool attempts_spent = number - not_sent_ >= max_attempts;
    const bool would_run_twice = runs_once_ && may_have_run_;
    return !attempt_ && !would_run_twice && !attempts_spent;
  }
  /// Records that an attempt is sent. No other attempt may be open.
  void open_attempt(OpenAttempt&& attempt) { attempt_ = std::move(attempt); }
  /// Closes and returns the open attempt, and records what its outcome proves. There must be an open attempt.
  OpenAttempt close_attempt(Outcome outcome) {
    OpenAttempt closed = std::move(*attempt_);
    attempt_.reset();
    if (!pathstack::policy::proves_never_ran(outcome)) may_have_run_ = true;
    if (outcome == Outcome::not_sent) ++not_sent_;
    ended_attempts_.push_back({closed.host, outcome});
    return closed;
  }

  /// False only if it is proven that the call has not run so far.
  bool may_have_run() const { return may_have_run_; }
  /// The attempts that have ended, in order.
  const std::vector<EndedAttempt>& ended_attempts() const { return ended_attempts_; }
  /// Records that the open attempt may have run.
  void note_may_have_run() { may_have_run_ = true; }

 private:
  Call call_;
  Front* front_;
  bool runs_once_;
  bool may_have_run_ = false;
  int next_attempt_ = 0;
  int not_sent_ = 0;  // attempts that a local fault kept from being sent
  std::optional<OpenAttempt> attempt_;
  std::vector<EndedAttempt> ended_attempts_;
};

}  // namespace pathstack::core

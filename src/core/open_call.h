/// A call that has no final answer yet, and the rules of its attempts.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace pathstack::core {

/// The attempt of a call that has been sent and has not ended.
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

/// Keeps what the attempts of one call prove, and says whether one more may be sent, whatever the module
/// decides: one open at a time, a few in all, none where one may have run and must not run twice. Owned by
/// the dispatcher; knows no clock; all operations take constant time.
class OpenCall {
 public:
  /// `front` gets the answer. `runs_once`: the call must not run twice.
  OpenCall(Call&& call, Front& front, bool runs_once)
      : call_(std::move(call)), front_(&front), runs_once_(runs_once) {}

  const Call& call() const { return call_; }
  Front& front() const { return *front_; }
  /// The attempt that is open, if one is.
  const std::optional<OpenAttempt>& attempt() const { return attempt_; }
  /// How long the client still waits at `now`; negative once it is late.
  Millis time_left(Millis now) const { return call_.arrived + call_.client_timeout - now; }

  /// The number of the next attempt, from 0 on, as the module counts them: also of those not sent.
  int take_attempt_number() { return next_attempt_++; }
  /// True if attempt `number` may be sent. Attempts that a fault of this machine kept from leaving do not
  /// count against `max_attempts`; the backoff of `Hosts` bounds how many there are.
  bool may_send(int number, int max_attempts) const {
    const bool attempts_spent = number - not_sent_ >= max_attempts;
    const bool would_run_twice = runs_once_ && may_have_run_;
    return !attempt_ && !would_run_twice && !attempts_spent;
  }
  /// An attempt is sent; none may be open.
  void open_attempt(OpenAttempt&& attempt) { attempt_ = std::move(attempt); }
  /// The open attempt, which there must be, has ended. Returns it, and notes what its outcome proves.
  OpenAttempt close_attempt(Outcome outcome) {
    OpenAttempt closed = std::move(*attempt_);
    attempt_.reset();
    if (!pathstack::policy::proves_never_ran(outcome)) may_have_run_ = true;
    if (outcome == Outcome::not_sent) ++not_sent_;
    ended_attempts_.push_back({closed.host, outcome});
    return closed;
  }

  /// True unless all that is known proves that the call never ran.
  bool may_have_run() const { return may_have_run_; }
  /// The attempts that have ended, in order.
  const std::vector<EndedAttempt>& ended_attempts() const { return ended_attempts_; }
  /// The open attempt may have run.
  void note_may_have_run() { may_have_run_ = true; }

 private:
  Call call_;
  Front* front_;
  bool runs_once_;
  bool may_have_run_ = false;
  int next_attempt_ = 0;
  int not_sent_ = 0;  // attempts that a fault of this machine kept from leaving
  std::optional<OpenAttempt> attempt_;
  std::vector<EndedAttempt> ended_attempts_;
};

}  // namespace pathstack::core

/// Timing of a graceful shutdown, from SIGTERM to just before SIGKILL.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::core {

/// Tells which phases of a graceful shutdown have passed at a given time. Reads no clock; every call takes
/// constant time. Before `start` no phase has passed.
class Shutdown {
 public:
  /// `longest_deadline`: the longest deadline of any class of calls.
  explicit Shutdown(Millis longest_deadline)
      : answer_time_(std::min(longest_deadline, kMaxCountedDeadline) + kAnswerTimePastDeadline) {}

  /// Starts the shutdown: SIGTERM was received at `now`. A second SIGTERM does not extend the time.
  void start(Millis now) {
    if (!started_) started_at_ = now;
    started_ = true;
  }
  /// True after `start`.
  bool started() const { return started_; }
  /// True while new connections may still arrive.
  bool accepts_connections(Millis now) const { return !past(now, kConnectionTime); }
  /// True while new requests may still arrive.
  bool accepts_requests(Millis now) const { return !past(now, kRequestTime); }
  /// True once every open call must get its final answer, as SIGKILL is near.
  bool final_answers_due(Millis now) const { return past(now, answer_time_); }
  /// The time at which to stop waiting for clients to close their connections, if all calls are answered at
  /// `now`.
  Millis linger_until(Millis now) const {
    return std::min(now, started_at_ + answer_time_ + kWriteTime) + kLingerTime;
  }
  /// True once the program must exit without waiting for anything else.
  bool must_exit(Millis now) const { return past(now, answer_time_ + kWriteTime); }

 private:
  // SIGKILL follows SIGTERM no sooner than the longest deadline plus 0.7 s. Deadlines longer than 3 s count
  // as 3 s.
  static constexpr Millis kMaxCountedDeadline{3000};
  static constexpr Millis kAnswerTimePastDeadline{500};
  // For writing the final answers.
  static constexpr Millis kWriteTime{50};
  // For clients to close their connections. The remaining 80 ms are for the exit of the process.
  static constexpr Millis kLingerTime{70};
  // After SIGTERM, new connections arrive for at most 0.4 s and new requests for 0.2 s more.
  static constexpr Millis kConnectionTime{500};
  static constexpr Millis kRequestTime{800};

  bool started_ = false;
  Millis started_at_{0};
  Millis answer_time_;

  bool past(Millis now, Millis span) const { return started_ && now - started_at_ > span; }
};

}  // namespace pathstack::core

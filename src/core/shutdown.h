/// The times of a graceful shutdown: from SIGTERM to the last moment before SIGKILL.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::core {

/// Says what an invoker that shuts down still does at a time. Knows no clock; every call is O(1). Before
/// `start` everything goes on.
class Shutdown {
 public:
  /// `longest_deadline` is the longest of all classes.
  explicit Shutdown(Millis longest_deadline)
      : answer_time_(std::min(longest_deadline, kMaxCountedDeadline) + kAnswerTimePastDeadline) {}

  /// SIGTERM came at `now`; a second one gives no more time.
  void start(Millis now) {
    if (!started_) started_at_ = now;
    started_ = true;
  }
  bool started() const { return started_; }
  /// True while new connections may still come.
  bool accepts_connections(Millis now) const { return !past(now, kConnectionTime); }
  /// True while new requests may still come.
  bool accepts_requests(Millis now) const { return !past(now, kRequestTime); }
  /// True once SIGKILL is near: what is open gets its final answer now, or never.
  bool final_answers_due(Millis now) const { return past(now, answer_time_); }
  /// When to stop waiting for clients to close their connections, if all is answered by `now`.
  Millis linger_until(Millis now) const {
    return std::min(now, started_at_ + answer_time_ + kWriteTime) + kLingerTime;
  }
  /// True once there is no time left for anything but the exit.
  bool must_exit(Millis now) const { return past(now, answer_time_ + kWriteTime); }

 private:
  // SIGKILL comes no sooner than 0.7 s past the longest deadline, which counts as 3 s where it is longer.
  static constexpr Millis kMaxCountedDeadline{3000};
  static constexpr Millis kAnswerTimePastDeadline{500};
  static constexpr Millis kWriteTime{50};
  // For clients to close their connections. The rest, 80 ms, is for the exit.
  static constexpr Millis kLingerTime{70};
  // Connections come for at most 0.4 s, requests for 0.2 s more.
  static constexpr Millis kConnectionTime{500};
  static constexpr Millis kRequestTime{800};

  bool started_ = false;
  Millis started_at_{0};
  Millis answer_time_;

  bool past(Millis now, Millis span) const { return started_ && now - started_at_ > span; }
};

}  // namespace pathstack::core

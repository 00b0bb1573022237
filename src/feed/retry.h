// How long the client of the change log waits: between connections, and on one that says nothing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "core/types.h"

namespace pathstack::feed {

/// The waits of a `Feed`. The defaults are those of the program.
struct Timeouts {
  core::Millis connect{500};
  core::Millis backoff_first{50}, backoff_most{500};
  // A log writes a line every second; its news count as received 4 s after it has stopped.
  core::Millis silence_first{1600}, silence_most{3000};
  // A crowded log may take long over a whole list, which is one line.
  core::Millis line_first{1600}, line_most{60000};
};

/// Exponential backoff with equal jitter: half of each pause is fixed, half is random, so that the invokers
/// that lost one log together don't come back together. The same seed gives the same pauses.
class Backoff {
 public:
  Backoff(core::Millis first, core::Millis most, std::uint64_t seed)
      : first_(first), most_(most), ceiling_(first), random_(seed) {}

  /// The next pause: between half and all of a ceiling that doubles from `first` up to `most`.
  core::Millis next() {
    const core::Millis half = ceiling_ / 2;
    ceiling_ = std::min(ceiling_ * 2, most_);
    return half + half * fraction();
  }
  /// The next ceiling is `first` again.
  void reset() { ceiling_ = first_; }

 private:
  core::Millis first_, most_, ceiling_;
  std::mt19937_64 random_;

  // At least 0, below 1. Written out, as the standard's distributions differ between libraries.
  double fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
};

/// What a connection is given before it counts as stopped. A wait that was too short for a crowded log would
/// be so each time, and its list never read: each wait that runs out doubles the next one, up to its bound.
class StalenessTimeout {
 public:
  explicit StalenessTimeout(const Timeouts& timeouts)
      : timeouts_(timeouts), silence_(timeouts.silence_first), line_(timeouts.line_first) {}

  /// The longest time with no byte.
  core::Millis silence() const { return silence_; }
  /// The longest time with no complete line, while bytes come.
  core::Millis line() const { return line_; }

  void silence_expired() { silence_ = std::min(silence_ * 2, timeouts_.silence_most); }
  void line_expired() { line_ = std::min(line_ * 2, timeouts_.line_most); }
  void line_received() { silence_ = timeouts_.silence_first; }
  /// Not for a repeated event or a number: these may come ahead of the list that takes long, each time anew.
  void update_received() { line_ = timeouts_.line_first; }

 private:
  Timeouts timeouts_;
  core::Millis silence_, line_;
};

}  // namespace pathstack::feed

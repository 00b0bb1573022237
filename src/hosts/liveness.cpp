#include "hosts/liveness.h"

#include <algorithm>
#include <cmath>

namespace pathstack::hosts {
namespace {

// A connection in use needs a health check after a silence of `kSilenceShare` of the attempt's time-out,
// divided by the number of open attempts, but of `kMinSilence` at least.
constexpr Millis kMinSilence{200};
constexpr double kSilenceShare = 0.15;
constexpr Millis kCheckTimeout{250};    // health checks bypass the queue of the host
constexpr Millis kPartialTimeout{200};  // the rest of an answer that takes longer never arrives

}  // namespace

void Liveness::received(Millis now, bool partial, bool completed) {
  received_at_ = now;
  if (!partial) {
    partial_since_ = Millis(0);
  } else if (partial_since_.count() == 0 || completed) {
    partial_since_ = now;
  }
}

void Liveness::checked(Millis now) {
  checked_at_ = now;
  ++checks_since_answer_;
}

Liveness::Status Liveness::evaluate(Millis now, Millis timeout, std::size_t calls) const {
  if (partial_since_.count() > 0 && now - partial_since_ > kPartialTimeout) return Status::answer_incomplete;
  const bool check_unanswered = checked_at_ > received_at_;
  if (check_unanswered) return now - checked_at_ > kCheckTimeout ? Status::unresponsive : Status::ok;
  const double share = kSilenceShare / static_cast<double>(std::max<std::size_t>(calls, 1));
  const Millis allowed = std::max(kMinSilence, share * timeout) * std::exp2(checks_since_answer_);
  return now - last_used() > allowed ? Status::check_due : Status::ok;
}

}  // namespace pathstack::hosts

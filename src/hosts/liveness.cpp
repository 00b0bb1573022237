#include "hosts/liveness.h"

#include <algorithm>
#include <cmath>

namespace pathstack::hosts {
namespace {

constexpr Millis kMinSilence{200};      // a connection in use is checked once silent for so long,
constexpr double kSilenceShare = 0.15;  // and for this part of the call's time-out over the calls open on it
constexpr Millis kCheckTimeout{250};    // a health check is answered beside the queue
constexpr Millis kPartialTimeout{
    200};  // an answer that has begun is complete by then, or its rest never comes

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

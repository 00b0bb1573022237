#include "hosts/liveness_monitor.h"

#include <string>
#include <utility>

#include "hosts/wire.h"

namespace pathstack::hosts {
namespace {

constexpr Millis kCheckInterval{50};

}  // namespace

LivenessMonitor::LivenessMonitor(net::Loop& loop, net::Stream& stream, core::Counters& counters,
                                 OpenAttempts& attempts, OpenRequests& requests, bool probes)
    : loop_(loop),
      stream_(stream),
      counters_(counters),
      attempts_(attempts),
      requests_(requests),
      probes_(probes) {}

void LivenessMonitor::watch() {
  liveness_.sent(loop_.now());
  set_timer();
}

void LivenessMonitor::set_timer() {
  if (std::exchange(timer_is_set_, true)) return;
  timer_ = loop_.at(loop_.now() + kCheckInterval, [this] { check(); });
}

void LivenessMonitor::check() {
  timer_is_set_ = false;
  const bool nothing_open = attempts_.size() + requests_.size() == 0;
  if (nothing_open || stream_.ending()) return;
  const Millis now = loop_.now();
  if (has_stalled_attempt(now)) return end_connection(core::Counter::hosts_stalled_links);
  if (stream_.open()) {
    const auto status = liveness_.evaluate(now, attempts_.last_timeout(), attempts_.size());
    if (status == Liveness::Status::answer_incomplete) {
      return end_connection(core::Counter::hosts_cut_answers);
    }
    if (status == Liveness::Status::unresponsive) return end_connection(core::Counter::hosts_silent_links);
    if (status == Liveness::Status::check_due && probes_) send_health_check(now);
  }
  set_timer();
}

// An attempt can be overdue because this program's event loop stalled. So a flush is tried before the host is
// held to have stopped reading.
bool LivenessMonitor::has_stalled_attempt(Millis now) {
  return attempts_.has_overdue(now) && !stream_.flush_now() && attempts_.has_overdue(now);
}

void LivenessMonitor::send_health_check(Millis now) {
  liveness_.checked(now);
  counters_.add(core::Counter::hosts_health_checks);
  const std::string tag = "h" + std::to_string(++health_checks_);
  requests_.add(tag, OpenRequest::Kind::health_check, 0, encode_health_check(tag));
  liveness_.sent(loop_.now());
}

void LivenessMonitor::end_connection(core::Counter cause) {
  counters_.add(cause);
  stream_.end_later();
}

}  // namespace pathstack::hosts

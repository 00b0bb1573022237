// How the drain grace is divided between the age of a worker's last word and the way of a message to it.
#pragma once

#include "pathstack/policy.h"

namespace pathstack::policy {

/// Part of the drain grace for which a worker that accepted something may be given new work. The rest is for
/// messages that wait for their connection. Without probes a lease that ends is lost, so it lasts longer, and
/// a message waits for less.
constexpr double lease_share(bool probes_allowed) { return probes_allowed ? 0.8 : 0.97; }

/// How long new work may go to a worker after something that it accepted was sent.
inline Millis lease_on_worker(Millis drain_grace, bool probes_allowed) {
  return drain_grace * lease_share(probes_allowed);
}

/// How long new work may wait for its connection while the list of workers is not current.
inline Millis max_connection_wait(Millis drain_grace, bool probes_allowed) {
  return drain_grace - lease_on_worker(drain_grace, probes_allowed);
}

}  // namespace pathstack::policy

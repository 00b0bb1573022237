/// Division of the drain grace between the lease of a worker and the delivery time of messages.
#pragma once

#include "pathstack/policy.h"

namespace pathstack::policy {

/// Share of the drain grace for which a worker that accepted work may be given new work. The rest is left for
/// messages that wait for their connection. Without probes an expired lease cannot be renewed, so leases last
/// longer, and messages may wait for a shorter time.
constexpr double lease_share(bool probes_allowed) { return probes_allowed ? 0.8 : 0.97; }

/// How long new work may be sent to a worker after the sending of the last work that it accepted.
inline Millis lease_on_worker(Millis drain_grace, bool probes_allowed) {
  return drain_grace * lease_share(probes_allowed);
}

/// How long new work may wait for its connection while the list of workers is not current.
inline Millis max_connection_wait(Millis drain_grace, bool probes_allowed) {
  return drain_grace - lease_on_worker(drain_grace, probes_allowed);
}

}  // namespace pathstack::policy

/// Limits on connections to hosts, from the settings and the limits of the platform.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Limits on connections, requests and waits, read once at construction. The pool raises
/// `max_connections_per_host` if `max_calls_per_host` needs more connections.
struct Limits {
  Millis connect_timeout{250};
  /// A host closes a connection that was idle for this long.
  Millis idle_timeout{15000};
  /// Of load orders, probes and health checks; includes the time to connect.
  Millis order_timeout{10000};
  /// Time after the start of a host's drain by which every message to it must have left.
  Millis drain_grace{250};
  /// How long after the first copy of an answer a second copy may arrive. The ref of an ended attempt is not
  /// reused on its connection before the window has passed.
  Millis duplicate_window{1000};
  /// Health checks are probes: none is sent if probes are not allowed.
  bool allow_probes = true;
  /// Open attempts on one connection.
  std::size_t max_attempts_per_connection = 32;
  std::size_t max_connections_per_host = 4;
  /// Connections to all hosts together.
  std::size_t max_connections = 256;
  /// Open calls at one host.
  std::size_t max_calls_per_host = 64;
  /// Names of the values of a load report, in the order that the decision module expects.
  std::vector<std::string> report_fields;
};

}  // namespace pathstack::hosts

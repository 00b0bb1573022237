/// What the settings and the platform's limits allow towards hosts.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// Limits on connections, requests and waits. Set once; the pool raises `max_connections_per_host` where
/// calls need more.
struct Limits {
  Millis connect_timeout{250};
  Millis idle_timeout{15000};   // a host closes a connection that was idle for so long
  Millis order_timeout{10000};  // of load orders, probes and health checks, connecting included
  Millis drain_grace{250};      // what goes to a host that drains must have left by then
  // How long a second copy of an answer may come after the first: the ref is not used again on that
  // connection before.
  Millis duplicate_window{1000};
  bool allow_probes = true;  // health checks of connections are probes too: none without these
  std::size_t max_attempts_per_connection = 32;  // open at once on one connection
  std::size_t max_connections_per_host =
      4;                                // connections to one host, or more if `max_calls_per_host` needs them
  std::size_t max_connections = 256;    // connections to all hosts
  std::size_t max_calls_per_host = 64;  // open at once at one host
  std::vector<std::string> report_fields;  // in the order in which the module wants them
};

}  // namespace pathstack::hosts

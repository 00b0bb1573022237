/// Limits on the resources of the invoker that RESP clients can use.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace pathstack::resp {

/// Limits of the RESP front. The connection limits apply separately to each state of a connection.
struct Limits {
  std::size_t max_active = 256;  // connections that have sent a complete request and are not closing
  std::size_t max_pending = 64;  // connections that have not sent a complete request yet
  // Connections that send their last bytes, or wait for the client to close. Not counted as active or
  // pending.
  std::size_t max_closing = 16;
  std::size_t max_calls_per_connection = 32;
  // Time limit for a complete request. Runs from the accept for the first request of a connection, and from
  // the first byte for later ones.
  core::Millis request_timeout{2000};
  // Time limit for the final answers of calls that are open when input of their connection is rejected.
  core::Millis rejected_timeout{2000};
};

}  // namespace pathstack::resp

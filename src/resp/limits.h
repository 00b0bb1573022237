// Bounds on what the platform's clients may hold of the invoker.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace pathstack::resp {

struct Limits {
  std::size_t max_active = 256;  // connections that have sent a complete request
  std::size_t max_pending = 64;  // pending connections: no complete request has come yet
  // Connections beyond these that were sent all that they are owed and wait for the client's close.
  std::size_t max_closing = 16;
  std::size_t max_calls_per_connection = 32;
  std::size_t max_body_bytes = 48U << 20;  // of all open calls
  // From connecting, or a request's first byte, to its last.
  core::Millis request_timeout{2000};
  // From a breach of the protocol to the final answer of the calls that were open by then.
  core::Millis rejected_timeout{2000};
};

}  // namespace pathstack::resp

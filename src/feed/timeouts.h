/// Timeouts of the membership client.
#pragma once

#include "core/types.h"

namespace pathstack::feed {

/// The defaults are those of the invoker.
struct Timeouts {
  /// For a connection to be established.
  core::Millis connect{500};
  /// First and largest ceiling of the backoff between connections. Kept short, as calls may be waiting for
  /// the log to return.
  core::Millis backoff_initial{50}, backoff_max{400};
  /// For any byte on a connection. The log writes a line every second, and its events count as delivered 4 s
  /// after it has stopped.
  core::Millis silence_initial{1600}, silence_max{3000};
  /// For a complete line. A log under load may need long to send a complete host list, which is one line.
  core::Millis line_initial{1600}, line_max{60000};
};

}  // namespace pathstack::feed

// The timeouts of the membership client.
#pragma once

#include "core/types.h"

namespace pathstack::feed {

/// The defaults are those of the program.
struct Timeouts {
  /// For a connection to be made.
  core::Millis connect{500};
  /// The ceiling of the pause between connections: the first one, and the bound of its growth.
  core::Millis backoff_initial{50}, backoff_max{400};  // calls may have waited for the log's return
  /// For any byte on a connection. The log writes a line every second; its updates count as received 4 s
  /// after it has stopped.
  core::Millis silence_initial{1600}, silence_max{3000};
  /// For a complete line. A log under load may take long over a complete list, which is one line.
  core::Millis line_initial{1600}, line_max{60000};
};

}  // namespace pathstack::feed

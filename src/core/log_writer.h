// Lines of the log, written without ever waiting for whoever reads them.
#pragma once

#include <string>
#include <string_view>

#include "core/counters.h"

namespace pathstack::core {

/// Writes lines to a descriptor that the program shares with others, such as standard output.
///
/// Never blocks: a pipe that nobody reads would stop the event loop, and with it all calls. What cannot be
/// written at once is kept, up to 64 KiB; whole lines past that are dropped and counted as
/// `log.lines_dropped`. The descriptor stays in blocking mode, as that mode belongs to all processes that
/// share it.
class LogWriter {
 public:
  /// Does not own `descriptor`.
  LogWriter(int descriptor, Counters& counters) : descriptor_(descriptor), counters_(counters) {}

  /// Appends a line end.
  void write_line(std::string_view line);
  /// Goes on with what is kept. Cost: one poll(2), and one write(2) for each 4 KiB.
  void flush();

 private:
  int descriptor_;
  Counters& counters_;
  std::string pending_;
};

}  // namespace pathstack::core

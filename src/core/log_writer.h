/// Non-blocking output of log lines.
#pragma once

#include <string>
#include <string_view>

#include "core/counters.h"

namespace pathstack::core {

/// Writes lines to a descriptor that other processes may share, such as standard output.
///
/// Never blocks: writing to a pipe that nobody reads would block the event loop, and with it all calls. Text
/// that cannot be written immediately is buffered, up to 64 KiB; lines that do not fit into the buffer are
/// dropped whole and counted as `log.lines_dropped`. The descriptor stays in blocking mode, as all processes
/// that share it share its mode.
class LogWriter {
 public:
  /// Does not own `descriptor`.
  LogWriter(int descriptor, Counters& counters) : descriptor_(descriptor), counters_(counters) {}

  /// Writes or buffers `line` and a line end.
  void write_line(std::string_view line);
  /// Writes as much buffered text as possible. Cost: one poll(2) and one write(2) for each 4 KiB.
  void flush();

 private:
  int descriptor_;
  Counters& counters_;
  std::string pending_;
};

}  // namespace pathstack::core

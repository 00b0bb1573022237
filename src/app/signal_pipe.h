/// Delivers signals as events of the loop.
#pragma once

#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::app {

/// The signals received since the last call of `SignalPipe::take`.
struct Signals {
  bool terminate = false;       // SIGTERM, SIGINT
  bool reload = false;          // SIGHUP
  bool print_counters = false;  // SIGUSR1
};

/// Handles the signals that an operator sends, and wakes the loop through a pipe for each (self-pipe):
/// poll(2) alone would miss a signal that arrives just before the call. SIGPIPE is ignored. At most one
/// instance per process.
class SignalPipe final : public net::Handler {
 public:
  /// Throws std::system_error if the pipe cannot be opened. Blocks for up to 3 s while descriptors or memory
  /// are short.
  explicit SignalPipe(net::Loop& loop);
  ~SignalPipe() override;
  SignalPipe(const SignalPipe&) = delete;
  SignalPipe& operator=(const SignalPipe&) = delete;

  /// Returns the signals received since the last call, and clears them.
  Signals take();

  /// Empties the pipe after it has woken the loop.
  void ready(short events) override;

 private:
  net::Loop& loop_;
  net::Socket read_end_, write_end_;

  static void install_handlers();
};

}  // namespace pathstack::app

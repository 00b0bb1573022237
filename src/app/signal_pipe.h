// Signals as events of the loop.
#pragma once

#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::app {

/// Which signals have come since they were last looked at.
struct Signals {
  bool terminate = false;       // SIGTERM, SIGINT
  bool reload = false;          // SIGHUP
  bool print_counters = false;  // SIGUSR1
};

/// Takes the signals that an operator sends, and wakes the loop for each through a pipe, as poll(2) alone
/// could miss one that comes just before it. SIGPIPE is ignored. One instance a process.
class SignalPipe final : public net::Handler {
 public:
  /// Throws std::system_error if there is no descriptor for the pipe for some seconds.
  explicit SignalPipe(net::Loop& loop);
  ~SignalPipe() override;
  SignalPipe(const SignalPipe&) = delete;
  SignalPipe& operator=(const SignalPipe&) = delete;

  /// The signals since the last call.
  Signals take();

  void ready(short events) override;

 private:
  net::Loop& loop_;
  net::Socket read_end_, write_end_;

  static void install_handlers();
};

}  // namespace pathstack::app

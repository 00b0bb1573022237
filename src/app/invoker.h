// One invoker: its parts, its start, its loop and its end.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "amqp/front.h"
#include "app/reloader.h"
#include "app/signal_pipe.h"
#include "config/config.h"
#include "core/counters.h"
#include "core/dispatcher.h"
#include "core/log_writer.h"
#include "core/shutdown.h"
#include "feed/membership_client.h"
#include "hosts/fleet.h"
#include "net/loop.h"
#include "resp/front.h"
#include "xds/host_file.h"

namespace pathstack::app {

/// Owns the parts of one invoker and runs them on one thread.
///
/// Clients' calls go from `front_` (RESP) or `triggers_` (AMQP) to `dispatcher_`, which asks the decision
/// module and sends attempts through `fleet_`. Lists of hosts come from `feed_` (the change log) or
/// `host_file_` (xDS) and go to `fleet_` first, then to `dispatcher_`.
class Invoker {
 public:
  /// Reads the configuration file and starts all parts. Throws config::ConfigError, which names the faulty
  /// key. Takes some seconds while the listener cannot be opened for a moment.
  explicit Invoker(std::string config_file);

  /// Runs until a SIGTERM has been carried out.
  void run();

 private:
  std::string config_file_;
  net::Loop loop_;
  SignalPipe signals_;
  config::Config config_;
  core::Counters counters_;
  core::LogWriter log_, errors_;
  net::BufferPool pool_;
  hosts::Fleet fleet_;
  core::Dispatcher dispatcher_;
  core::Shutdown shutdown_;
  resp::Front front_;
  std::optional<feed::MembershipClient> feed_;
  std::optional<xds::HostFile> host_file_;
  std::optional<amqp::Front> triggers_;
  Reloader reloader_;
  core::Millis next_status_{0};
  bool ended_ = false;  // told to end before it could listen: nothing was taken that would need an answer

  /// A quarter of the memory limit, in bytes: the bound on what waits unwritten, on the bodies of open calls,
  /// and on one line of the change log.
  std::size_t memory_quarter() const { return (config_.memory_mb << 20) / 4; }

  feed::EventSequence take_known_events();
  void start_membership();
  /// Retries an error that may be over in a moment; throws config::ConfigError for any other.
  void start_listening();
  bool run_until(core::Millis end);
  bool serve_signals();
  void start_triggers();
  void update_members(const core::MemberList& list, core::ListKind kind);
  void reload();
  void on_reload_fault(const std::string& fault, bool last);
  void begin_shutdown(core::Millis now);
  void close_clients();
  bool shutdown_done(core::Millis now);
  void log_status();
  void log_counters();
};

}  // namespace pathstack::app

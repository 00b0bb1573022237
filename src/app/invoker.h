/// The invoker program: construction of its parts, main loop, reload and graceful shutdown.
#pragma once

#include <limits>
#include <optional>
#include <string>

#include "amqp/front.h"
#include "app/reloader.h"
#include "app/signal_pipe.h"
#include "config/config.h"
#include "core/counters.h"
#include "core/dispatcher.h"
#include "core/event_log.h"
#include "core/log_writer.h"
#include "core/memory_budget.h"
#include "core/shutdown.h"
#include "feed/membership_client.h"
#include "hosts/connection_pool.h"
#include "net/loop.h"
#include "resp/front.h"
#include "xds/host_file.h"

namespace pathstack::app {

/// Owns the parts of one invoker and runs them on one thread.
///
/// Clients' calls go from `resp_front_` (RESP) or `amqp_front_` (AMQP) to `dispatcher_`, which asks the
/// decision module and sends attempts through `connection_pool_`. Lists of hosts come from
/// `membership_client_` (the membership log) or `host_file_` (xDS) and go to `connection_pool_` first, then
/// to `dispatcher_`.
class Invoker {
 public:
  /// Reads the configuration file and starts all parts. Throws config::ConfigError, which names the faulty
  /// key. Blocks for up to 5 s while a transient error keeps the listener from being opened.
  explicit Invoker(std::string config_file);

  /// Runs until the shutdown after a SIGTERM or SIGINT is complete.
  void run();

 private:
  std::string config_file_;
  net::Loop loop_;
  SignalPipe signals_;
  config::Config config_;
  core::Counters counters_;
  core::LogWriter output_, error_output_;
  core::EventLog event_log_;
  core::MemoryBudget memory_;
  net::BufferPool buffers_;
  hosts::ConnectionPool connection_pool_;
  core::Dispatcher dispatcher_;
  core::Shutdown shutdown_;
  resp::Front resp_front_;
  std::optional<feed::MembershipClient> membership_client_;
  std::optional<xds::HostFile> host_file_;
  std::optional<amqp::Front> amqp_front_;
  Reloader reloader_;
  core::Millis next_status_{0};
  core::Millis list_current_until_{std::numeric_limits<double>::infinity()};
  bool list_was_current_ = true;
  bool terminated_at_start_ = false;  // before it listened: no call is open

  /// Applies the known events of the configuration; returns the position from which the membership log has to
  /// continue.
  feed::EventSequence apply_known_events();
  /// Makes all parts report what they hold for peers, and ask before they hold more.
  void start_memory_budget();
  void start_membership();
  /// Opens the listener. Retries transient errors for 5 s; throws config::ConfigError for all others.
  void start_listening();
  /// Handles membership events and signals until `end`. Returns false at once if the program must end.
  bool run_until(core::Millis end);
  /// Handles the signals received since the last call; true if the program must end.
  bool handle_signals();
  void start_amqp();
  void update_list_lease(const feed::ListLease& lease);
  /// Logs when the list of hosts becomes stale or current again.
  void log_list_state();
  void update_members(const core::MemberList& list, core::ListKind kind);
  /// Reads the configuration again and applies its list of hosts; on a fault throws
  /// config::ConfigError and changes nothing.
  void reload();
  void report_reload_fault(const std::string& fault, bool last);
  void begin_shutdown(core::Millis now);
  void close_clients();
  /// Performs the shutdown steps that are due at `now`; true once the program may end.
  bool advance_shutdown(core::Millis now);
  void log_status();
  void log_counters();
  void log_event(const std::string& text);
  void report_error(const std::string& error);
};

}  // namespace pathstack::app

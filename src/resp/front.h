// The platform's front: clients that CALL, CANCEL and CHECK over RESP.
#pragma once

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "core/counters.h"
#include "core/dispatcher.h"
#include "net/loop.h"
#include "net/socket.h"
#include "resp/call_table.h"
#include "resp/connection.h"
#include "resp/connection_table.h"
#include "resp/limits.h"
#include "resp/listener.h"
#include "resp/parser.h"

namespace pathstack::resp {

/// Passes requests from the clients' connections to the dispatcher, and answers back.
///
/// Owns the listener, the connections and the table of open calls. Used on the loop's thread only; the
/// dispatcher may answer while a call is handed to it. What must hold: each call that was read gets exactly
/// one final answer, unless its client cancels it or closes. Cost: constant for a request, besides its size.
class Front final : public core::Front, private ListenerObserver, private ConnectionObserver {
 public:
  using Limits = resp::Limits;
  /// All references have to outlive the front.
  Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
        const Limits& limits);

  /// False if it failed, by `listen_error`; may be called again then.
  bool listen(const std::string& address);
  const std::error_code& listen_error() const { return listen_error_; }
  std::string address() const { return listener_.address(); }
  /// CHECK says DOWN from now on; calls are still taken.
  void drain() { draining_ = true; }
  /// As `Listener::stop`.
  bool stop_listening() { return listener_.stop(); }
  std::size_t open_calls() const { return calls_.size(); }
  /// Nothing waits to be written.
  bool all_written() const { return connections_.all_written(); }
  /// A request has come in part.
  bool has_partial_request() const { return connections_.any_partial_request(); }
  /// Begins to end all connections: each is sent what waits to be written, and nothing more is read from it.
  void close_connections() { connections_.reject_all_input(); }
  bool closed() const { return connections_.empty(); }

  void answer(core::CallId id, core::Answer&& answer) override;

 private:
  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Dispatcher& dispatcher_;
  core::Counters& counters_;
  Limits limits_;
  std::error_code listen_error_;
  Listener listener_;
  ConnectionTable connections_;
  CallTable calls_;
  bool draining_ = false;

  void on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) override;

  bool on_requests_read(Connection& connection) override;
  void on_refused(Connection& connection, const std::vector<Words>& requests) override;
  void on_request(Connection& connection, Words&& words) override;
  void on_answers_overdue(Connection& connection) override;
  void on_closing(Connection& connection) override;
  void on_closed(Connection& connection) override;

  void begin_call(Connection& connection, const std::string& tag, Words&& words);
  void cancel_call(const Connection& connection, const std::string& tag);
  void reject_call(Connection& connection, const std::string& tag, core::Counter reason,
                   core::CallStatus status = core::CallStatus::failed);
  void reply_health(Connection& connection, const std::string& tag) const;
  void fail_open_call(core::CallId id);
};

}  // namespace pathstack::resp

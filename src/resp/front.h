/// The RESP front: serves clients that send CALL, CANCEL and CHECK requests over RESP.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "core/counters.h"
#include "core/dispatcher.h"
#include "core/memory_budget.h"
#include "net/loop.h"
#include "net/socket.h"
#include "resp/call_table.h"
#include "resp/connection.h"
#include "resp/connection_table.h"
#include "resp/limits.h"
#include "resp/listener.h"
#include "resp/parser.h"

namespace pathstack::resp {

/// Passes requests from client connections to the dispatcher, and answers back to the clients.
///
/// Owns the listener, the connections and the table of open calls. Each call that was read gets exactly one
/// final answer, unless its client cancels the call or closes the connection. The dispatcher may answer a
/// call from inside `Dispatcher::take`. Used on the thread of the event loop only. Constant time per request,
/// plus the size of the request.
class Front final : public core::Front, private ListenerObserver, private ConnectionObserver {
 public:
  using Limits = resp::Limits;
  /// All references must outlive the front.
  Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
        const Limits& limits);

  /// Takes calls only while `budget`, which must outlive the front, admits them, and reports to it what
  /// clients hold. Without a budget, memory is not limited.
  void set_memory_budget(core::MemoryBudget& budget);
  /// Listens on `address`. Returns false on failure, with the reason in `listen_error`; may be called again
  /// after a failure.
  bool listen(const std::string& address);
  const std::error_code& listen_error() const { return listen_error_; }
  /// The address that the front listens on.
  std::string address() const { return listener_.address(); }
  /// From now on replies DOWN to CHECK requests. Calls are still accepted.
  void drain() { draining_ = true; }
  /// See `Listener::stop`.
  bool stop_listening() { return listener_.stop(); }
  /// The number of calls that are not answered yet.
  std::size_t open_calls() const { return calls_.size(); }
  /// True if no active or closing connection has unwritten bytes.
  bool all_written() const { return connections_.all_written(); }
  /// True if a request has been received in part.
  bool has_partial_request() const { return connections_.any_partial_request(); }
  /// Begins to close all connections. Further requests but cancels are ignored; each connection ends once its
  /// open calls are answered and all bytes are written.
  void close_connections() { connections_.reject_all_input(); }
  /// True if there are no connections.
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
  const core::MemoryBudget* memory_ = nullptr;
  std::size_t buffered_bytes_ = 0;  // of requests received in part
  bool draining_ = false;

  void on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) override;

  bool on_requests_read(Connection& connection) override;
  void on_refused_request(Connection& connection, const Message& request) override;
  void on_request(Connection& connection, Message&& request) override;
  bool may_buffer(const Connection& connection, std::size_t bytes) override;
  void on_buffered_changed(std::ptrdiff_t change) override { buffered_bytes_ += change; }
  void on_answers_overdue(Connection& connection) override;
  void on_closing(Connection& connection) override;
  void on_closed(Connection& connection) override;

  void begin_call(Connection& connection, const std::string& tag, Message&& request);
  void cancel_call(Connection& connection, const std::string& tag);
  void refuse_for_memory(Connection& connection, const std::string& tag);
  void reject_call(Connection& connection, const std::string& tag, core::Counter reason,
                   core::CallStatus status = core::CallStatus::failed);
  void reply_health(Connection& connection, const std::string& tag) const;
  void fail_open_call(core::CallId id);
};

}  // namespace pathstack::resp

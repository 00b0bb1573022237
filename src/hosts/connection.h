/// A connection to one process of a host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "core/module.h"
#include "core/types.h"
#include "hosts/limits.h"
#include "hosts/line_parser.h"
#include "hosts/liveness_monitor.h"
#include "hosts/open_attempts.h"
#include "hosts/open_requests.h"
#include "hosts/ref_history.h"
#include "hosts/wire.h"
#include "net/stream.h"

namespace pathstack::hosts {

class Connection;

/// Receives the events of a connection. All methods except the last four are called from the event loop,
/// never from inside a method of the connection.
class ConnectionObserver {
 public:
  ConnectionObserver() = default;
  virtual ~ConnectionObserver() = default;
  ConnectionObserver(const ConnectionObserver&) = delete;
  ConnectionObserver& operator=(const ConnectionObserver&) = delete;

  /// An attempt was answered, or can no longer be answered. Not called for cancelled attempts.
  virtual void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) = 0;
  /// A load order was answered, timed out, or lost its connection.
  virtual void on_load_ended(core::LoadOutcome&& end) = 0;
  /// A probe was answered, timed out, or lost its connection.
  virtual void on_probe_ended(core::ProbeOutcome&& end) = 0;
  /// The connection has ended. Called before the ends of its open requests are reported; the observer
  /// releases its reference to the connection.
  virtual void on_connection_closed(Connection& connection) = 0;
  /// Called immediately before a load order is written; false if the order must not be written.
  virtual bool take_load_budget() = 0;
  /// Whether an attempt or load order that was queued at `added_at` for its connection to be established may
  /// still be written.
  virtual bool may_still_write(Millis added_at) = 0;
  /// Whether a connection that holds `held` bytes of an incomplete answer may receive `more` of it.
  virtual bool may_buffer(std::size_t held, std::size_t more) = 0;
  /// The memory of incomplete answers and waiting attempts has changed by `change` bytes.
  virtual void on_buffered_changed(std::ptrdiff_t change) = 0;
};

/// A connection to one process of a host: carries attempts, load orders and probes, and ends itself if the
/// host is unresponsive, sends malformed input, or does not read.
///
/// Matches answers to open requests, and decides when the connection may be used and when it ends. `wire.h`
/// encodes the messages; `OpenAttempts` and `OpenRequests` track the open requests. Messages that are added
/// before the connection is established are queued and can still be removed unsent. Owned by
/// `ConnectionPool`; used on the thread of the event loop only.
class Connection final : public net::Stream {
 public:
  /// `socket` is connecting; the references must outlive this object. The connection ends if it is not
  /// established within `limits.connect_timeout`.
  Connection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
             ConnectionObserver& observer, std::string host, net::Socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// The id of the host.
  const std::string& host() const { return host_; }
  /// The number of open attempts, load orders, probes and health checks.
  std::size_t load() const { return attempts_.size() + requests_.size(); }
  /// True if the connection is established and has no open request and no unsent bytes.
  bool idle() const { return open() && load() == 0 && outbox().empty(); }
  /// When bytes last arrived or a message was last sent.
  Millis last_used() const { return monitor_.liveness().last_used(); }
  /// True if the connection was ever established.
  bool was_up() const { return monitor_.liveness().ever_connected(); }
  /// True once another process has replaced the one at the other end of the connection.
  bool is_replaced() const { return replaced_; }
  /// True if the connection counts against the limit for its host: it is connecting or established, and its
  /// process was not replaced.
  bool counts_for_host() const { return (open() || connecting()) && !replaced_; }
  /// True if an attempt may be sent under `ref`, or a load order or probe if `ref` is empty. Cost:
  /// logarithmic in the open attempts.
  bool accepts(const std::string& ref) const;

  /// Sends an attempt of `call`. `accepts` must be true for its ref. `timeout` is the time that its client
  /// has left.
  void exec(const core::Attempt& attempt, const core::Call& call, Millis timeout);
  /// Cancels the attempt; returns true if it may have run. Its end is not reported. Cost: linear in the open
  /// attempts.
  bool cancel(const core::Attempt& attempt);
  /// Orders `instances` instances of `function`. `tag` must be unique on this connection, as for `probe`.
  void order_load(const std::string& tag, std::uint64_t function, int instances);
  /// Requests a load report.
  void probe(const std::string& tag);
  /// Allows the host to unload `function`. No outcome is reported.
  void unload(std::uint64_t function);

  /// Stops accepting new requests; open requests continue until they end.
  void retire();
  /// Retires the connection, as its host is draining or gone. Also ends the connection if bytes are still
  /// unsent at the end of the drain grace.
  void drain();
  /// Drains the connection for good, as its host runs a new process or another host has its address.
  void mark_replaced();

 private:
  core::Counters& counters_;
  const Limits& limits_;
  ConnectionObserver& observer_;
  std::string host_;
  LineParser parser_;
  AnswerDecoder decoder_;
  RefHistory history_;
  OpenAttempts attempts_;
  OpenRequests requests_;
  LivenessMonitor monitor_;
  bool retired_ = false;   // accepts no new requests
  bool replaced_ = false;  // its host runs another process
  bool suspect_ = false;   // accepts nothing until bytes arrive, as the host was silent before a cancel
  net::Loop::TimerId idle_timer_{};  // the connect time-out while connecting
  net::Loop::TimerId drain_timer_{};
  std::size_t reported_buffered_bytes_ = 0;  // as last passed to the observer

  void connected() override;
  void received(std::string_view bytes) override;
  void ended() override;
  void backlog_discarded() override;

  void send_request(const std::string& tag, OpenRequest::Kind kind, std::uint64_t function,
                    const std::string& message);
  bool handle_answer(Reply&& reply);
  bool handle_attempt_answer(Answer&& answer);
  void handle_request_answer(const OpenRequest& request, Answer&& answer);
  void handle_unexpected_answer(const std::string& id);
  void request_timed_out(const OpenRequest& request);
  void report_request_end(const OpenRequest& request, core::Outcome outcome, int instances,
                          core::Report report);
  core::Outcome outcome_at_end(const SentMessage& message) const;
  void cancel_timers();
  void update_idle_timer();
  void report_buffered_bytes();
};

}  // namespace pathstack::hosts

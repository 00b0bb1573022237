/// One connection to a process of a host.
#pragma once

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

/// What a connection reports to. Except `take_load_budget` and `may_still_write`, calls come from the event
/// loop, never from inside a method of the connection's.
class ConnectionObserver {
 public:
  ConnectionObserver() = default;
  virtual ~ConnectionObserver() = default;
  ConnectionObserver(const ConnectionObserver&) = delete;
  ConnectionObserver& operator=(const ConnectionObserver&) = delete;

  /// An attempt has its answer, or can't get one any more. Not called for attempts that were cancelled.
  virtual void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) = 0;
  /// A load order was answered, timed out or lost its connection.
  virtual void on_load_ended(core::LoadOutcome&& end) = 0;
  /// As `on_load_ended`, of a probe.
  virtual void on_probe_ended(core::ProbeOutcome&& end) = 0;
  /// Comes before the ends of what was open on the connection; the observer gives up its reference.
  virtual void on_connection_closed(Connection& connection) = 0;
  /// Asked when a load order is about to be written; false if it must not be.
  virtual bool take_load_budget() = 0;
  /// Asked for a call or load order that has waited for its connection since `added_at`; false if it must not
  /// be written any more.
  virtual bool may_still_write(Millis added_at) = 0;
};

/// A connection to one process of a host: carries attempts, load orders and probes, and ends itself when the
/// host is silent, sends what can't be understood, or reads nothing.
///
/// Decides which of the open requests an answer belongs to and when the connection may be used and has to
/// end. The forms of the messages are `wire.h`, the open requests `OpenAttempts` and `OpenRequests`. Owned by
/// `ConnectionPool`; used on the loop's thread only. Until the connection is up its messages wait, and can
/// still be taken back.
class Connection final : public net::Stream {
 public:
  /// `socket` is connecting; the references must outlive this object. Ends after `limits.connect_timeout`
  /// unless it is up by then.
  Connection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
             ConnectionObserver& observer, std::string host, net::Socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// The id of the host.
  const std::string& host() const { return host_; }
  /// Attempts, load orders, probes and health checks that are open here.
  std::size_t load() const { return attempts_.size() + requests_.size(); }
  /// True if the connection is up and has nothing open or unsent.
  bool idle() const { return open() && load() == 0 && outbox().empty(); }
  /// When bytes last came, or something was last sent.
  Millis last_used() const { return monitor_.liveness().last_used(); }
  /// True if it ever came up.
  bool was_up() const { return monitor_.liveness().ever_connected(); }
  /// True once the host runs another process than the one that it leads to.
  bool is_replaced() const { return replaced_; }
  /// False once the process that it leads to was replaced: it does not count among the new one's connections.
  bool counts_for_host() const { return (open() || connecting()) && !replaced_; }
  /// True if an attempt may go out here under `ref`; empty for an order or a probe. Cost: logarithmic in the
  /// open attempts.
  bool accepts(const std::string& ref) const;

  /// Sends an attempt of `call`, whose ref must be accepted. `timeout` is the time that its client has left.
  void exec(const core::Attempt& attempt, const core::Call& call, Millis timeout);
  /// Gives the attempt up; true if it may have run. Its end is not reported. Cost: linear in the open
  /// attempts.
  bool cancel(const core::Attempt& attempt);
  /// Orders `instances` instances of `function`. `tag` must be unique on this connection, as for `probe`.
  void order_load(const std::string& tag, std::uint64_t function, int instances);
  /// Asks for a load report.
  void probe(const std::string& tag);
  /// Lets the host unload `function`. Nothing is reported.
  void unload(std::uint64_t function);

  /// Nothing new goes here, and what is open ends by itself.
  void retire();
  /// The host is draining or gone: as `retire`, and what has not gone out within the grace never will.
  void drain();
  /// The host runs a new process, or another host has its address: as `drain`, for good.
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
  bool retired_ = false;             // nothing new goes here
  bool replaced_ = false;            // its host runs another process now
  bool suspect_ = false;             // it had been silent for long when an attempt was cancelled
  net::Loop::TimerId idle_timer_{};  // while connecting, the connect time-out
  net::Loop::TimerId drain_timer_{};

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
};

}  // namespace pathstack::hosts

// One connection to a host.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "core/counters.h"
#include "core/module.h"
#include "core/types.h"
#include "hosts/limits.h"
#include "hosts/line_parser.h"
#include "hosts/liveness.h"
#include "hosts/ref_history.h"
#include "net/fields.h"
#include "net/stream.h"

namespace pathstack::hosts {

class Link;

/// What a connection reports to. Calls come from the event loop, never from inside a method of the link's.
class LinkObserver {
 public:
  virtual ~LinkObserver() = default;
  virtual void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) = 0;
  virtual void on_load_ended(core::LoadOutcome&& end) = 0;
  virtual void on_probe_ended(core::ProbeOutcome&& end) = 0;
  /// Comes before the ends of what was open on the link; the observer gives up its reference.
  virtual void on_link_closed(Link& link) = 0;
  /// Asked when a load order is about to be written; false if it must not be.
  virtual bool take_load_budget() = 0;
};

/// A connection to one process of a host: carries attempts, load orders and probes, and ends itself when the
/// host is silent, sends what can't be understood, or reads nothing. Owned by the connection pool (`Fleet`);
/// used on the loop's thread only.
///
/// Until the connection is up its messages wait here, where a drop can still take them back.
class Link final : public net::Stream {
 public:
  Link(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
       LinkObserver& observer, std::string host, net::Socket socket);
  ~Link() override;

  const std::string& host() const { return host_; }
  /// Attempts, orders and probes that are open here.
  std::size_t load() const { return attempts_.size() + requests_.size(); }
  bool idle() const { return open() && load() == 0 && outbox().empty(); }
  Millis last_used() const { return liveness_.last_used(); }
  /// False once the process that it leads to was replaced: it does not count among the new one's connections.
  bool counts_for_host() const { return (open() || connecting()) && !replaced_; }
  /// True if an attempt may go out here under `ref`; empty for an order or a probe.
  bool accepts(const std::string& ref) const;

  void exec(const core::Attempt& attempt, const core::Call& call, Millis timeout);
  /// Gives the attempt up; true if it may have run.
  bool drop(const core::Attempt& attempt);
  void order_load(const std::string& tag, std::uint64_t function, int instances);
  void probe(const std::string& tag);
  void unload(std::uint64_t function);

  /// Nothing new goes here, and what is open ends by itself.
  void stop_using();
  /// The host is draining or gone: as `stop_using`, and what has not gone out within the grace never will.
  void drain();
  /// The host runs a new process, or another host has its address: as `drain`, for good.
  void replace();

 private:
  struct Sent {
    core::Attempt attempt;
    std::uint64_t end = 0;  // offset behind its last byte
    bool written = false;   // its bytes stand in the outbox or went out
    Millis at{0};
    Millis written_at{0};
  };
  struct WaitingAttempt {  // for the connection
    std::string ref, fields, body;
    Millis until{0};
  };
  struct WaitingLine {
    std::string tag, line;
  };
  struct Request {
    enum class Kind { load_order, probe, health_check };
    Kind kind = Kind::load_order;
    std::uint64_t function = 0;
    Millis at{0};
    std::uint64_t end = 0;
    bool written = false;
    net::Loop::TimerId timer{};
  };
  core::Counters& counters_;
  const Limits& limits_;
  LinkObserver& observer_;
  std::string host_;
  LineParser parser_;
  Liveness liveness_;
  RefHistory history_;
  std::map<std::string, Sent> attempts_;     // by ref
  std::map<std::string, Request> requests_;  // by tag
  std::deque<WaitingAttempt> waiting_attempts_;
  std::deque<WaitingLine> waiting_lines_;
  Millis last_timeout_{0};  // of the attempt that was sent last
  std::uint64_t health_checks_ = 0;
  bool retired_ = false;   // nothing new goes here
  bool replaced_ = false;  // its host runs another process now
  bool suspect_ = false;   // it was silent for long when an attempt was dropped
  bool watching_ = false;
  net::Loop::TimerId idle_timer_{}, drain_timer_{}, liveness_timer_{};

  void connected() override;
  void received(std::string_view bytes) override;
  void ended() override;
  void backlog_discarded() override;

  void write_attempt(const WaitingAttempt& attempt, Millis timeout, Sent& sent);
  void send_request(const std::string& tag, Request::Kind kind, std::uint64_t function,
                    const std::string& line);
  void write_line(const WaitingLine& line);
  void refuse_load_order(const std::string& tag);
  bool take(Reply&& reply);
  bool take_attempt_answer(std::map<std::string, Sent>::iterator found, Reply&& reply,
                           const net::Fields& fields);
  void take_request_answer(std::map<std::string, Request>::iterator found, const Reply& reply,
                           const net::Fields& fields);
  void take_other_answer(const std::string& id);
  void request_timed_out(const std::string& tag);
  void end_request(const Request& request, core::Outcome outcome, int instances, core::Report report);
  core::Report read_report(const std::string& text) const;
  bool has_stale_attempt(Millis now) const;
  void watch_liveness();
  void check_liveness();
  void update_idle_timer();
};

}  // namespace pathstack::hosts

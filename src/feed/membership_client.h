// The client of the membership log, which the platform calls the change log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/counters.h"
#include "core/event_log.h"
#include "core/member.h"
#include "feed/backoff.h"
#include "feed/event_sequence.h"
#include "feed/line_splitter.h"
#include "feed/list_lease.h"
#include "feed/staleness_timeout.h"
#include "feed/timeouts.h"
#include "feed/watch_connection.h"
#include "net/loop.h"

namespace pathstack::feed {

/// Watches the list of hosts: reports every event after the last one known, once and in order, over
/// connections that are made again with backoff as often as they break or go stale.
///
/// Runs on the loop's thread; destroyed before the loop.
class MembershipClient final : private WatchOwner {
 public:
  /// Receives the hosts of one event: all of them if `complete`, else those that have changed.
  using OnUpdate = std::function<void(const core::MemberList&)>;

  /// Receives how long the list may be relied on, each time that it may have changed.
  using OnLease = std::function<void(const ListLease&)>;

  /// `known`: the events that are known already. A line of more than `max_event_bytes` ends the connection; a
  /// complete list of hosts is one line. `seed` is that of the backoff's jitter.
  MembershipClient(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, std::string address,
                   EventSequence known, OnUpdate on_update,
                   std::size_t max_event_bytes = kDefaultMaxEventBytes, std::uint64_t seed = 0,
                   const Timeouts& timeouts = Timeouts());
  ~MembershipClient() override;
  MembershipClient(const MembershipClient&) = delete;
  MembershipClient& operator=(const MembershipClient&) = delete;

  /// Connections, their ends and events are told of in `log`, which must outlive this object.
  void log_to(core::EventLog& log) { event_log_ = &log; }

  void observe_lease(OnLease on_lease) { on_lease_ = std::move(on_lease); }

  /// Begins the first connection.
  void start();

  /// The log goes on at another address, under the same sequence numbers. The old connection is left at once:
  /// the old address reports nothing more but may stay open for a while, and look healthy. No effect if the
  /// address is the one in use.
  void move(const std::string& address);

 private:
  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Counters& counters_;
  std::string address_;
  core::EventLog* event_log_ = nullptr;
  EventSequence sequence_;
  OnUpdate on_update_;
  OnLease on_lease_;
  std::size_t max_event_bytes_;
  Timeouts timeouts_;
  Backoff backoff_;
  StalenessTimeout staleness_;
  ListLease lease_;
  std::shared_ptr<WatchConnection> connection_;
  net::Loop::TimerId reconnect_timer_;

  bool is_current(const WatchConnection& connection) const override;
  void on_events_requested(std::uint64_t last) override;
  std::uint64_t last_sequence() const override { return sequence_.last(); }
  bool on_line(const std::string& line) override;
  void on_silence_timeout(const WatchConnection& connection) override;
  void on_line_timeout(const WatchConnection& connection) override;
  void on_ended(const WatchConnection& connection) override;

  void connect();
  void report_lease();
  void reconnect_later();
  void log_event(const core::MemberList& list) const;
};

}  // namespace pathstack::feed

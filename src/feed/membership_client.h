/// Client of the membership log, which the platform calls the change log.
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

/// Reports each host list event after the last known one, once and in order. Reconnects with backoff whenever
/// the connection is lost or stale.
///
/// Runs on the thread of the loop; must be destroyed before the loop.
class MembershipClient final : private WatchOwner {
 public:
  /// Receives the host list of one event: all hosts if `complete`, otherwise the changed ones.
  using OnUpdate = std::function<void(const core::MemberList&)>;

  /// Receives the lease on the host list each time that the lease may have changed.
  using OnLease = std::function<void(const ListLease&)>;

  /// `known`: the state of the sequence after the events that are already known. A line of more than
  /// `max_event_bytes` ends the connection; a complete host list is one line. `seed`: of the backoff jitter.
  MembershipClient(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, std::string address,
                   EventSequence known, OnUpdate on_update,
                   std::size_t max_event_bytes = kDefaultMaxEventBytes, std::uint64_t seed = 0,
                   const Timeouts& timeouts = Timeouts());
  ~MembershipClient() override;
  MembershipClient(const MembershipClient&) = delete;
  MembershipClient& operator=(const MembershipClient&) = delete;

  /// Writes requests, ended connections, moves and events to `log`, which must outlive this object.
  void log_to(core::EventLog& log) { event_log_ = &log; }

  /// Sets the function that receives the lease; to be called before `start`.
  void observe_lease(OnLease on_lease) { on_lease_ = std::move(on_lease); }

  /// Reports the initial lease and starts the first connection.
  void start();

  /// The memory of the line received in part, in bytes.
  std::size_t buffered_bytes() const { return connection_ ? connection_->buffered_bytes() : 0; }

  /// Switches to another address of the log, which continues the same sequence numbers. Closes the old
  /// connection at once: the old log reports nothing more, but may keep the connection open for a while and
  /// look healthy. No effect if the address is already in use.
  void switch_address(const std::string& address);

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

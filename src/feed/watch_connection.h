/// One connection to the membership log.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "feed/line_splitter.h"
#include "feed/staleness_timeout.h"
#include "net/stream.h"

namespace pathstack::feed {

class WatchConnection;

/// Interface between a connection and the client that owns it. Called on the thread of the loop, never from
/// the constructor of the connection.
class WatchOwner {
 public:
  virtual ~WatchOwner() = default;

  /// Returns false once the client uses another connection; `connection` then ignores further input.
  virtual bool is_current(const WatchConnection& connection) const = 0;

  /// The request for all events after `last` is being sent.
  virtual void on_events_requested(std::uint64_t last) = 0;

  /// Returns the sequence number after which the log is to continue.
  virtual std::uint64_t last_sequence() const = 0;

  /// Processes a received line. Returns false if the line cannot be read, or if an event before it is
  /// missing; the connection then ends.
  virtual bool on_line(const std::string& line) = 0;

  /// No byte was received within `StalenessTimeout::silence`.
  virtual void on_silence_timeout(const WatchConnection& connection) = 0;
  /// No complete line was received within `StalenessTimeout::line`.
  virtual void on_line_timeout(const WatchConnection& connection) = 0;

  /// The connection has ended, for any reason.
  virtual void on_ended(const WatchConnection& connection) = 0;
};

/// Requests all events after the last known one, passes lines to the owner, and ends itself when the log is
/// stale. A log that stops within an event, or sends an endless line, keeps its connection open but is of no
/// use.
///
/// Owned by a `MembershipClient`, which must outlive the connection until the end of the turn in which the
/// connection ends.
class WatchConnection final : public net::Stream {
 public:
  /// `socket`: its connect was started. `staleness` is read each time that a timer starts.
  WatchConnection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, net::Socket socket,
                  WatchOwner& owner, const StalenessTimeout& staleness, core::Millis connect_timeout,
                  std::size_t max_line_bytes);
  ~WatchConnection() override;
  WatchConnection(const WatchConnection&) = delete;
  WatchConnection& operator=(const WatchConnection&) = delete;

  /// The memory of the line received in part, in bytes.
  std::size_t buffered_bytes() const { return splitter_.buffered_bytes(); }

  /// Returns the reason for the end of the connection, for the event log.
  std::string_view end_reason() const;

 private:
  core::Counters& counters_;
  WatchOwner& owner_;
  const StalenessTimeout& staleness_;
  LineSplitter splitter_;
  net::Loop::TimerId silence_timer_;  // until the connection is established: connect timeout
  net::Loop::TimerId line_timer_;
  std::string_view own_end_reason_;  // empty if the connection did not end itself

  void connected() override;
  void received(std::string_view bytes) override;
  void ended() override;

  void restart_silence_timer();
  void restart_line_timer();
  void restart_timer(net::Loop::TimerId& timer, core::Millis timeout, std::function<void()> callback);
  void cancel_timers();
  void end_with_reason(core::Counter reason);
};

}  // namespace pathstack::feed

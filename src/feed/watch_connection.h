// One connection to the membership log.
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

/// What a connection needs of the client that has made it, and reports to it. Called on the loop's thread,
/// never from within the connection's constructor.
class WatchOwner {
 public:
  virtual ~WatchOwner() = default;

  /// False once the client has gone on to another connection: this one reads nothing more.
  virtual bool is_current(const WatchConnection& connection) const = 0;

  /// The question for all events after `last` leaves now.
  virtual void on_events_requested(std::uint64_t last) = 0;

  /// The sequence number after which the log is to go on.
  virtual std::uint64_t last_sequence() const = 0;

  /// A line has arrived. False if it cannot be understood, or shows that one before it is missing: the
  /// connection then ends.
  virtual bool on_line(const std::string& line) = 0;

  virtual void on_silence_timeout(const WatchConnection& connection) = 0;
  virtual void on_line_timeout(const WatchConnection& connection) = 0;

  /// The connection has ended, for whatever reason.
  virtual void on_ended(const WatchConnection& connection) = 0;
};

/// Asks the log for all events after the last one known, passes lines on, and ends itself once the log is
/// stale: a log that stops half-way through an event, or sends one endless line, is open but useless.
///
/// Owned by a `MembershipClient`, which outlives it to the end of the turn in which it ends.
class WatchConnection final : public net::Stream {
 public:
  /// `socket`: of a connection that was begun. `staleness` is read anew for each timer.
  WatchConnection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, net::Socket socket,
                  WatchOwner& owner, const StalenessTimeout& staleness, core::Millis connect_timeout,
                  std::size_t max_line_bytes);
  ~WatchConnection() override;
  WatchConnection(const WatchConnection&) = delete;
  WatchConnection& operator=(const WatchConnection&) = delete;

  /// Why it ended, for the log.
  std::string_view end_reason() const;

 private:
  core::Counters& counters_;
  WatchOwner& owner_;
  const StalenessTimeout& staleness_;
  LineSplitter splitter_;
  net::Loop::TimerId silence_timer_;  // until the connection is made: its connect timeout
  net::Loop::TimerId line_timer_;
  std::string_view own_end_reason_;  // empty: it did not end itself

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

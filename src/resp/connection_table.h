/// The table of client connections, with limits on their number.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "core/counters.h"
#include "core/types.h"
#include "resp/connection.h"
#include "resp/limits.h"

namespace pathstack::resp {

/// Owns all connections: pending ones (no complete request yet), active ones and closing ones. Each state has
/// a limit of its own, so that connections in one state cannot use up the descriptors for another.
///
/// The first connection to be evicted is the one with the oldest last request, or the oldest accept if
/// pending. Used by the front on the thread of the event loop. Constant time unless stated otherwise.
class ConnectionTable {
 public:
  /// `turn_clock` returns when the present turn of the event loop began.
  ConnectionTable(std::function<core::Millis()> turn_clock, core::Counters& counters, const Limits& limits)
      : clock_(std::move(turn_clock)), counters_(counters), limits_(limits) {}

  /// Adds a connection in the pending state. Beyond the limit, reads from the oldest pending connection and
  /// closes it if it still has not sent a complete request.
  void add_pending(std::shared_ptr<Connection> connection);
  /// Makes the connection the most recent active one, as a complete request was received. A connection that
  /// is active already stays so, whatever the limit. For another one beyond the limit, ends those that
  /// their clients have closed, once in a turn, and then the idle connection with the oldest last request.
  /// Returns false if none is idle; the connection then counts in no state until it begins to close. Cost
  /// beyond the limit: one poll(2) for each active connection.
  bool activate(Connection& connection);
  /// Moves the connection to the closing state. Beyond the limit, writes what the socket takes of the answers
  /// of the connection that has been closing for longest, and closes it without waiting for its client.
  void begin_closing(Connection& connection);
  /// Removes a connection whose socket is closed, and returns ownership to the caller.
  std::shared_ptr<Connection> remove(Connection& connection);

  /// Rejects the input of all active and pending connections, and so begins to close them. Linear, like the
  /// functions below, in the number of connections.
  void reject_all_input();
  /// True if no active or closing connection has unwritten bytes.
  bool all_written() const;
  /// True if an active or pending connection has received a part of a request.
  bool any_partial_request() const;
  bool empty() const { return active_.empty() && pending_.empty() && closing_.empty() && refused_.empty(); }

 private:
  std::function<core::Millis()> clock_;
  core::Counters& counters_;
  const Limits& limits_;
  ConnectionList active_;   // ordered by last request, oldest first
  ConnectionList pending_;  // ordered by accept, oldest first
  ConnectionList closing_;  // ordered by start of the close, oldest first
  ConnectionList refused_;  // by `activate`, until the end of the turn or until they begin to close

  core::Millis closed_ended_at_{0};  // turn in which `end_closed` last looked

  static void move_to_back(ConnectionList& list, Connection& connection);
  void end_closed();
  bool evict_idle();
  void evict(Connection& connection, core::Counter reason);
};

}  // namespace pathstack::resp

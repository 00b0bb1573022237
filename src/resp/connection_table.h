// The clients' connections, and the bounds on their number.
#pragma once

#include <memory>

#include "core/counters.h"
#include "resp/connection.h"
#include "resp/limits.h"

namespace pathstack::resp {

/// Owns all connections: pending ones, which have sent no complete request yet, active ones, and those that
/// wait for their client's close. Each has a bound, so that no kind takes the descriptors of another.
///
/// Used by the front on the loop's thread. Connections are evicted in the order of their last request, or of
/// their accept. Cost: constant, but for what says otherwise.
class ConnectionTable {
 public:
  ConnectionTable(core::Counters& counters, const Limits& limits) : counters_(counters), limits_(limits) {}

  /// Beyond the bound the oldest pending connection is closed, unless its request has come by now.
  void add_pending(std::shared_ptr<Connection> connection);
  /// A complete request has come: the connection becomes the most recent active one. Beyond the bound the
  /// idle connection whose last request is oldest is closed; false if none is idle. Cost beyond the bound:
  /// one poll(2) for each active connection that looks idle.
  bool activate(Connection& connection);
  /// Beyond the bound the one that has been closing for longest is cut off.
  void begin_closing(Connection& connection);
  /// Gives the ownership back; the connection's socket is closed.
  std::shared_ptr<Connection> remove(Connection& connection);

  /// Begins to end all connections. Cost, as for the rest: the number of connections.
  void reject_all_input();
  /// No active or closing connection has bytes to be written.
  bool all_written() const;
  /// An active or pending connection has sent a part of a request.
  bool any_partial_request() const;
  bool empty() const { return active_.empty() && pending_.empty() && closing_.empty(); }

 private:
  core::Counters& counters_;
  const Limits& limits_;
  ConnectionList active_, pending_;  // oldest request, or accept, first
  ConnectionList closing_;           // the one closing for longest first

  static void move_to_back(ConnectionList& list, Connection& connection);
  void evict(Connection& connection, core::Counter reason);
};

}  // namespace pathstack::resp

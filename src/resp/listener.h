/// The listening socket for client connections.
#pragma once

#include <optional>
#include <string>
#include <system_error>

#include "core/counters.h"
#include "core/types.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::resp {

/// Receives the connections that a `Listener` accepts.
class ListenerObserver {
 public:
  virtual ~ListenerObserver() = default;
  /// Called for each accepted connection. `waiting_since` is the time since when the connection and its input
  /// may have been waiting for the accept; empty if it was accepted without delay. May call
  /// `Listener::resume`.
  virtual void on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) = 0;
};

/// Owns the listening socket. Pauses accepting when the process or the machine is out of descriptors or
/// memory.
///
/// The socket is not watched during a pause, as it stays readable and the loop would spin. A pause ends with
/// `resume` or a timer with a bounded backoff. The timer is needed because the shortage may be machine-wide,
/// and then no connection of this process need end. Used on the thread of the event loop only. Calls
/// accept(2) a bounded number of times per turn.
class Listener final : private net::Handler {
 public:
  Listener(net::Loop& loop, core::Counters& counters, ListenerObserver& observer);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Listens on `address`. Returns an empty error code on success; may be called again after an error.
  std::error_code listen(const std::string& address);
  /// The address that the socket is bound to.
  std::string address() const { return net::bound_address(socket_); }
  /// Accepts all connections in the kernel's queue, then closes the socket. Returns false, and leaves the
  /// socket open, if connections may remain that cannot be accepted yet; the caller must retry. Closing the
  /// socket would lose the requests on such connections.
  bool stop();
  /// Ends a pause, as a descriptor has become free. No effect if accepting is not paused.
  void resume();

 private:
  net::Loop& loop_;
  core::Counters& counters_;
  ListenerObserver& observer_;
  net::Socket socket_;
  bool paused_ = false;  // the socket is not watched
  net::Loop::TimerId resume_timer_{};
  core::Millis backoff_{0};
  std::optional<core::Millis> waiting_since_;  // since when connections may have been waiting

  void ready(short events) override;
  /// Accepts connections up to the limit per turn. Returns the status of the last accept.
  net::AcceptStatus accept_some();
  void pause();
};

}  // namespace pathstack::resp

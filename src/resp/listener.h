// Accepts the platform's connections.
#pragma once

#include <optional>
#include <string>
#include <system_error>

#include "core/counters.h"
#include "core/types.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::resp {

/// Gets the connections of a `Listener`.
class ListenerObserver {
 public:
  virtual ~ListenerObserver() = default;
  /// `waiting_since`: the time from which on the connection, and bytes of it, may have waited to be accepted;
  /// empty if it was accepted as soon as it came. May call `Listener::resume`.
  virtual void on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) = 0;
};

/// Owns the listening socket and the pause after a lack of descriptors or memory.
///
/// A listener that stays readable would spin the loop, so it is not watched during a pause. The shortage may
/// be the machine's, with no connection here whose end could mend it: a timer with a bounded backoff ends the
/// pause, or `resume`. Used on the loop's thread only. Cost: a bounded number of accept(2) a turn.
class Listener final : private net::Handler {
 public:
  Listener(net::Loop& loop, core::Counters& counters, ListenerObserver& observer);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Empty on success; may be called again after an error.
  std::error_code listen(const std::string& address);
  std::string address() const { return net::bound_address(socket_); }
  /// Accepts what waits in the kernel's queue, then closes the socket. False while connections that cannot be
  /// accepted yet may wait there: to be called again. A close would lose the requests that they hold.
  bool stop();
  /// Ends a pause: a descriptor has become free. Nothing happens if there is none.
  void resume();

 private:
  net::Loop& loop_;
  core::Counters& counters_;
  ListenerObserver& observer_;
  net::Socket socket_;
  bool paused_ = false;  // the socket is not watched until `resume`
  net::Loop::TimerId resume_timer_{};
  core::Millis backoff_{0};
  std::optional<core::Millis> waiting_since_;  // since when connections may wait to be accepted

  void ready(short events) override;
  /// Gives the status of the last accept.
  net::AcceptStatus accept_some();
  void pause();
};

}  // namespace pathstack::resp

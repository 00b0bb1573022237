// A TCP proxy whose faults a schedule sets.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "listener.h"
#include "net/loop.h"
#include "net/stream.h"

namespace pathstack::soak {

/// Stands between an invoker and one other party. Destroyed before the loop.
class FaultProxy {
 public:
  enum class Mode {
    pass,     // forwards all bytes
    refuse,   // has ended its connections, and takes no new one
    silent,   // keeps and takes connections, forwards nothing
    truncate  // as `silent`, once it has forwarded half of the target's next bytes
  };

  FaultProxy(net::Loop& loop, net::BufferPool& pool, std::string target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& address() const { return listener_.address(); }

  /// Changes the mode; connections that were silenced end with the return to `pass`, as what was held back
  /// is lost.
  void set_mode(Mode mode);
  /// Forwards the target's bytes later by this much.
  void set_delay(Millis delay) { delay_ = delay; }
  /// Ends all connections once; new ones are taken.
  void break_connections();

 private:
  struct Link;
  class Side;

  net::Loop& loop_;
  net::BufferPool& pool_;
  std::string target_;
  Mode mode_ = Mode::pass;
  Millis delay_{0};
  std::list<std::shared_ptr<Link>> links_;
  Listener listener_;

  void accept(net::Socket client);
  void forward(Side& from, std::string_view bytes);
  void link_ended(Link& link);
};

}  // namespace pathstack::soak

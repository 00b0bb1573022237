/// A TCP proxy that simulates connection faults.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "listener.h"
#include "net/loop.h"
#include "net/stream.h"

namespace pathstack::soak {

/// Forwards between an invoker and one target address. Must be destroyed before the loop.
class FaultProxy {
 public:
  enum class Mode {
    pass,     // forwards all data
    refuse,   // closes all connections and refuses new ones
    silent,   // keeps and accepts connections, forwards nothing
    truncate  // forwards half of the target's next data, then as `silent`
  };

  FaultProxy(net::Loop& loop, net::BufferPool& pool, std::string target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& address() const { return listener_.address(); }

  /// Changes the mode. Returning from `silent` or `truncate` to `pass` closes the connections, as the data
  /// received meanwhile is lost.
  void set_mode(Mode mode);
  /// Delays data from the target by this much.
  void set_delay(Millis delay) { delay_ = delay; }
  /// Closes all connections once; new ones are accepted.
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

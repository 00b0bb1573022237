/// The load orders, probes and health checks that are open on one connection to a host.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "hosts/open_attempts.h"
#include "net/loop.h"
#include "net/stream.h"

namespace pathstack::hosts {

/// A request other than an attempt that has no answer yet.
struct OpenRequest {
  enum class Kind { load_order, probe, health_check };
  Kind kind = Kind::load_order;
  std::uint64_t function = 0;  // of a load order
  Millis added_at{0};
  SentMessage message;
  net::Loop::TimerId timer{};
};

/// Writes requests to a connection and keeps them, by tag, until they are answered or their time-out has
/// passed. Lines added while the connection is not yet up wait here. Owned by a connection and used on its
/// thread only.
class OpenRequests {
 public:
  /// Asked when a load order is about to be written; false if it must not be.
  using TakeLoadBudget = std::function<bool()>;
  /// The request is no longer open. Called from the loop, never from inside a method of this class.
  using TimedOut = std::function<void(const OpenRequest& request)>;

  /// `loop` and `stream` must outlive this object. `timeout` runs from `add`, connecting included.
  OpenRequests(net::Loop& loop, net::Stream& stream, Millis timeout, TakeLoadBudget take_load_budget,
               TimedOut timed_out);

  std::size_t size() const { return by_tag_.size(); }

  /// Sends `message`, a complete request under `tag`, or keeps it for the connection. `tag` must not be open.
  /// Cost: logarithmic in the open requests.
  void add(const std::string& tag, OpenRequest::Kind kind, std::uint64_t function,
           const std::string& message);
  /// Sends a message that has no answer, or keeps it for the connection.
  void send_unanswered(const std::string& message);
  /// The connection is up: writes what has waited and has not timed out. Load orders that must not be written
  /// any more time out at once.
  void connected(const OpenAttempts::MayWrite& may_write);

  /// Removes the request under `tag` and returns it; nothing if none is open. Cost: logarithmic.
  std::optional<OpenRequest> remove(const std::string& tag);
  /// Removes all, in the order of their tags. Must be called before this object is destroyed if the loop goes
  /// on, or a time-out would reach an object that is gone.
  std::vector<OpenRequest> remove_all();

 private:
  struct Waiting {  // for the connection
    std::string tag, message;
  };
  net::Loop& loop_;
  net::Stream& stream_;
  Millis timeout_;
  TakeLoadBudget take_load_budget_;
  TimedOut timed_out_;
  std::map<std::string, OpenRequest> by_tag_;
  std::deque<Waiting> waiting_;  // oldest first; an empty tag has no answer

  void write_or_wait(const std::string& tag, const std::string& message);
  void write(const Waiting& line);
  void expire(const std::string& tag, OpenRequest& request);
  void set_timer(const std::string& tag, OpenRequest& request, Millis at);
};

}  // namespace pathstack::hosts

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

/// An unanswered request that is not an attempt.
struct OpenRequest {
  enum class Kind { load_order, probe, health_check };
  Kind kind = Kind::load_order;
  std::uint64_t function = 0;  // of a load order
  Millis added_at{0};
  SentMessage message;
  net::Loop::TimerId timer{};
};

/// Writes requests to a connection and tracks them, by tag, until they are answered or time out. Messages
/// that are added while the connection is being established are queued here. Owned by a connection and used
/// on its thread only.
class OpenRequests {
 public:
  /// Asked immediately before a load order is written; false if it must not be written.
  using TakeLoadBudget = std::function<bool()>;
  /// Reports a request that timed out and is no longer open. Called from the event loop, never from inside a
  /// method of this class.
  using TimedOut = std::function<void(const OpenRequest& request)>;

  /// `loop` and `stream` must outlive this object. `timeout` runs from `add` and includes the time to
  /// connect.
  OpenRequests(net::Loop& loop, net::Stream& stream, Millis timeout, TakeLoadBudget take_load_budget,
               TimedOut timed_out);

  std::size_t size() const { return by_tag_.size(); }

  /// Sends `message`, a complete request under `tag`, or queues it until the connection is established. No
  /// request may be open under `tag`. Cost: logarithmic in the open requests.
  void add(const std::string& tag, OpenRequest::Kind kind, std::uint64_t function,
           const std::string& message);
  /// Sends a message that has no answer, or queues it until the connection is established.
  void send_unanswered(const std::string& message);
  /// Writes the queued messages that have not timed out, as the connection is established. Load orders that
  /// must no longer be written time out immediately.
  void connected(const OpenAttempts::MayWrite& may_write);

  /// Removes the request under `tag` and returns it; nothing if none is open. Cost: logarithmic.
  std::optional<OpenRequest> remove(const std::string& tag);
  /// Removes and returns all requests, ordered by tag. Must be called before this object is destroyed if the
  /// event loop runs on: a pending timer would call a destroyed object.
  std::vector<OpenRequest> remove_all();

 private:
  struct Waiting {  // until the connection is established
    std::string tag, message;
  };
  net::Loop& loop_;
  net::Stream& stream_;
  Millis timeout_;
  TakeLoadBudget take_load_budget_;
  TimedOut timed_out_;
  std::map<std::string, OpenRequest> by_tag_;
  std::deque<Waiting> waiting_;  // oldest first; the tag is empty if the message has no answer

  void write_or_wait(const std::string& tag, const std::string& message);
  void write(const Waiting& line);
  void expire(const std::string& tag, OpenRequest& request);
  void set_timer(const std::string& tag, OpenRequest& request, Millis at);
};

}  // namespace pathstack::hosts

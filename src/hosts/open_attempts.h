/// The attempts that are open on one connection to a host.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "hosts/wire.h"
#include "net/stream.h"

namespace pathstack::hosts {

/// Where a message stands in the bytes that its connection sends.
struct SentMessage {
  bool written = false;   // its bytes stand in the outbox or went out
  std::uint64_t end = 0;  // offset behind its last byte

  /// True if the kernel has all its bytes: the host may have read it.
  bool has_left(const net::Outbox& outbox) const { return written && outbox.written() >= end; }
};

/// An attempt that has neither its answer nor been given up.
struct OpenAttempt {
  core::Attempt attempt;
  SentMessage message;
  Millis added_at{0};
  Millis written_at{0};
};

/// Writes attempts to a connection and keeps them until they end. Those added while the connection is not
/// yet up wait here, where they can be taken back. Owned by a connection and used on its thread only.
class OpenAttempts {
 public:
  /// `stream` must outlive this object.
  explicit OpenAttempts(net::Stream& stream) : stream_(stream) {}

  std::size_t size() const { return by_ref_.size(); }
  bool contains(const std::string& ref) const { return by_ref_.count(ref) != 0; }
  /// The time-out of the attempt added last.
  Millis last_timeout() const { return last_timeout_; }

  /// Sends an attempt, or keeps it for the connection. Its ref must not be open. Cost: logarithmic in the
  /// open attempts, linear in the body.
  void add(const core::Attempt& attempt, const core::Call& call, Millis now, Millis timeout);
  /// Asked for what has waited since the given time; false if it must not be written any more.
  using MayWrite = std::function<bool(Millis added_at)>;
  /// The connection is up: writes what has waited and has time left. Removes and returns what must not be
  /// written.
  std::vector<OpenAttempt> connected(Millis now, const MayWrite& may_write);

  /// The ref of `attempt`, if it is open. Cost: linear in the open attempts.
  std::optional<std::string> ref_of(const core::Attempt& attempt) const;
  /// Removes the attempt under `ref` and returns it; nothing if none is open. Cost: logarithmic, and linear
  /// in the waiting attempts if it was not yet written.
  std::optional<OpenAttempt> remove(const std::string& ref);
  /// Removes all, in the order of their refs.
  std::vector<OpenAttempt> remove_all();

  /// True if an attempt was written too long ago for the time-out in it still to hold, and has not left.
  /// Cost: linear in the open attempts if anything is unsent, else constant.
  bool has_overdue(Millis now) const;

 private:
  struct Waiting {  // for the connection
    ExecRequest request;
    Millis expires_at{0};
  };
  net::Stream& stream_;
  std::map<std::string, OpenAttempt> by_ref_;
  std::deque<Waiting> waiting_;  // oldest first
  Millis last_timeout_{0};

  void write(const ExecRequest& request, Millis now, Millis timeout, OpenAttempt& open);
};

}  // namespace pathstack::hosts

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

/// The position of a message in the output stream of its connection.
struct SentMessage {
  bool written = false;   // to the outbox
  std::uint64_t end = 0;  // offset after its last byte

  /// True if all bytes were handed to the kernel, so that the host may have read the message.
  bool has_left(const net::Outbox& outbox) const { return written && outbox.written() >= end; }
};

/// An attempt that was neither answered nor cancelled.
struct OpenAttempt {
  core::Attempt attempt;
  SentMessage message;
  Millis added_at{0};
  Millis written_at{0};
};

/// Writes attempts to a connection and tracks them until they end. Attempts that are added while the
/// connection is being established are queued here and can still be removed unsent. Owned by a connection and
/// used on its thread only.
class OpenAttempts {
 public:
  /// `stream` must outlive this object.
  explicit OpenAttempts(net::Stream& stream) : stream_(stream) {}

  std::size_t size() const { return by_ref_.size(); }
  bool contains(const std::string& ref) const { return by_ref_.count(ref) != 0; }
  /// The memory of the bodies that wait for the connection to be established, in bytes.
  std::size_t waiting_bytes() const { return waiting_bytes_; }
  /// The time-out of the most recently added attempt.
  Millis last_timeout() const { return last_timeout_; }

  /// Sends an attempt, or queues it until the connection is established. No attempt may be open under the
  /// same ref. Cost: logarithmic in the open attempts, linear in the body.
  void add(const core::Attempt& attempt, const core::Call& call, Millis now, Millis timeout);
  /// Whether a message that was queued at `added_at` may still be written.
  using MayWrite = std::function<bool(Millis added_at)>;
  /// Writes the queued attempts, as the connection is established; those without time left stay open and
  /// unwritten. Removes and returns the attempts that `may_write` rejects.
  std::vector<OpenAttempt> connected(Millis now, const MayWrite& may_write);

  /// The ref of `attempt`; nothing if it is not open. Cost: linear in the open attempts.
  std::optional<std::string> ref_of(const core::Attempt& attempt) const;
  /// Removes the attempt under `ref` and returns it; nothing if none is open. Cost: logarithmic in the open
  /// attempts, and linear in the queued ones if the attempt was not yet written.
  std::optional<OpenAttempt> remove(const std::string& ref);
  /// Removes and returns all attempts, ordered by ref.
  std::vector<OpenAttempt> remove_all();

  /// True if an attempt is still in the outbox and was written so long ago that the time-out that it carries
  /// exceeds the time that its client has left. Cost: linear in the open attempts if the outbox is not empty,
  /// else constant.
  bool has_overdue(Millis now) const;

 private:
  struct Waiting {  // until the connection is established
    ExecRequest request;
    Millis expires_at{0};
  };
  net::Stream& stream_;
  std::map<std::string, OpenAttempt> by_ref_;
  std::deque<Waiting> waiting_;    // oldest first
  std::size_t waiting_bytes_ = 0;  // of the bodies in `waiting_`
  Millis last_timeout_{0};

  void write(const ExecRequest& request, Millis now, Millis timeout, OpenAttempt& open);
};

}  // namespace pathstack::hosts

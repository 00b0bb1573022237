/// A TCP connection that is driven by the event loop.
#pragma once

#include <string_view>

#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::net {

/// What ended a stream. Only the first cause is recorded.
enum class StreamEnd {
  local,            // the owner ended the stream, or it has not ended
  closed_by_peer,   // orderly shutdown
  reset_by_peer,    // the peer's process or kernel reset the connection
  network_failure,  // any other error; the peer may be healthy
};

/// Owns a socket, its unwritten bytes and its registration in the loop, and releases all three together when
/// it ends. Derived classes are notified through the protected virtual functions. The owner must keep a
/// stream alive until the end of the turn in which it ends (`Loop::defer_destruction`), as the loop may still
/// be inside one of its functions. Not thread-safe; used on the thread of the loop only.
class Stream : public Handler {
 public:
  /// How long a stream waits for the peer to close after it has shut down sending.
  static constexpr Millis kLingerTimeout{1000};
  /// How many bytes of input a stream discards in that time.
  static constexpr std::size_t kLingerMaxBytes = std::size_t{1} << 20;

  /// `connecting`: the connect was started and is not complete. With an empty socket the stream has already
  /// ended, and sends no notifications.
  Stream(Loop& loop, BufferPool& pool, Socket socket, bool connecting);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Queues bytes to be sent at the end of the turn. No effect if the stream is ending. Ends the stream if no
  /// buffer is available.
  void write(std::string_view bytes);

  /// Writes as many bytes as the kernel accepts now. Returns false if bytes remain or the stream is
  /// connecting or ending.
  bool flush_now();

  /// Ends the stream at the end of the turn, for callers inside which `ended` must not be called.
  void end_later();

  /// Ends the stream gracefully, without a reset that could discard written bytes: writes all bytes, shuts
  /// down sending, and discards input until the peer closes. The last step is bounded by `kLingerTimeout` and
  /// `kLingerMaxBytes`; the caller must bound the first one.
  void end_when_written();

  /// Revokes `end_when_written`. No effect once sending is shut down.
  void keep_open() { ends_when_written_ = false; }

  /// Leaves input in the kernel for `delay`, in place of an earlier pause. A close by the peer ends the
  /// pause.
  void pause_reading(Millis delay);

  /// Discards further input instead of passing it to `received`. A close by the peer still ends the stream.
  void stop_receiving() { discards_input_ = true; }
  bool discards_input() const { return discards_input_; }

  /// True while the connection is established, also while it is lingering.
  bool open() const { return phase_ == Phase::established || phase_ == Phase::lingering; }
  bool connecting() const { return phase_ == Phase::connecting; }
  /// True if bytes that are written now would not be sent.
  bool ending() const { return end_requested_ || phase_ == Phase::lingering || phase_ == Phase::closed; }
  /// True if poll(2) reports unread bytes, a close or an error, or fails. Cost: one system call.
  bool has_input() const;
  /// True if the peer has closed or reset the connection, also if input before that is unread. Cost: one
  /// system call.
  bool closed_by_peer() const;
  const Outbox& outbox() const { return outbox_; }
  StreamEnd end_cause() const { return end_cause_; }

  void ready(short events) final;
  void flush() final;

 protected:
  /// Called when the connect has completed.
  virtual void connected() {}
  /// Called with input; `bytes` is valid only during the call.
  virtual void received(std::string_view bytes) = 0;
  /// Called when all bytes are written and the stream is about to shut down sending, as `end_when_written`
  /// asked for. If it returns false, the stream stays open until the next call of `end_when_written`.
  virtual bool may_shut_down() { return true; }
  /// Called once, after the socket was closed. No further notification follows.
  virtual void ended() = 0;
  /// Called when the unwritten bytes of the stream were discarded in favour of other connections, as the peer
  /// read too slowly. The stream ends.
  virtual void backlog_discarded() {}
  /// Closes the socket and calls `ended` immediately. No effect on a stream that has ended.
  void end();
  Loop& loop() const { return loop_; }

 private:
  Loop& loop_;
  Socket socket_;
  Outbox outbox_;
  enum class Phase {
    connecting,
    established,
    lingering,  // sending is shut down; input is discarded until the peer closes
    closed      // no socket
  };

  Phase phase_;
  bool end_requested_ = false;      // close at the end of this turn, in any phase
  bool ends_when_written_ = false;  // linger once all bytes are written
  bool discards_input_ = false;
  bool reading_paused_ = false;
  Loop::TimerId resume_timer_{};
  std::size_t discarded_after_shutdown_ = 0;
  Loop::TimerId linger_timer_{};
  StreamEnd end_cause_ = StreamEnd::local;

  void watch();
  void linger();
  void resume_reading();
  void discard_input(std::size_t size);
  void outbox_discarded();
  void read();
  void set_end_cause(StreamEnd cause);
};

}  // namespace pathstack::net

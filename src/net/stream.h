// A TCP connection as a user of the event loop.
#pragma once

#include <string_view>

#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::net {

/// What ended a stream; the first cause counts.
enum class StreamEnd {
  local,            // the owner's decision, or not ended
  closed_by_peer,   // in order
  reset_by_peer,    // the peer's process or kernel gave the connection up
  network_failure,  // any other error: the peer may be well
};

/// Owns a socket, its unwritten bytes and its place in the loop, and gives all three back at once when it
/// ends. Derived classes are notified of what happens through the protected virtual functions; whoever owns
/// them keeps them alive to the end of the turn in which they end (`Loop::defer_destruction`), as the loop
/// may still be inside one of their functions. Not thread-safe; everything happens on the loop's thread.
class Stream : public Handler {
 public:
  /// How long a stream waits for the close of a peer after it has shut down sending.
  static constexpr Millis kLingerTimeout{1000};
  /// How many bytes of input a stream discards meanwhile.
  static constexpr std::size_t kLingerMaxBytes = std::size_t{1} << 20;

  /// `connecting`: the connection was begun and is not made yet. An empty socket gives a stream that has
  /// ended and that notifies nobody.
  Stream(Loop& loop, BufferPool& pool, Socket socket, bool connecting);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Queues bytes, which leave at the end of the turn. No effect once the stream is ending; ends the stream
  /// if no buffer is to be had.
  void write(std::string_view bytes);

  /// Writes what the kernel takes now; false if some bytes must wait or the stream ends.
  bool flush_now();

  /// Ends the stream at the end of the turn, for callers that `ended` must not interrupt.
  void end_later();

  /// Ends it from the loop, without a reset that could overtake what was written: hands all bytes to the
  /// kernel, shuts down sending, and discards input until the peer closes. The last step is bounded by
  /// `kLingerTimeout` and `kLingerMaxBytes`, the first one by the caller.
  void end_when_written();

  /// Takes `end_when_written` back; no effect once sending is shut down.
  void keep_open() { ends_when_written_ = false; }

  /// From now on input is discarded instead of passed to `received`. A close of the peer still ends the
  /// stream.
  void stop_receiving() { discards_input_ = true; }
  bool discards_input() const { return discards_input_; }

  /// True while there is a connection, also while it is ending.
  bool open() const { return phase_ == Phase::established || phase_ == Phase::lingering; }
  bool connecting() const { return phase_ == Phase::connecting; }
  /// True if nothing that is written now would leave.
  bool ending() const { return end_requested_ || phase_ == Phase::lingering || phase_ == Phase::closed; }
  /// True if poll(2) reports something: bytes that were not read yet, a close or an error. One system call.
  bool has_input() const;
  const Outbox& outbox() const { return outbox_; }
  StreamEnd end_cause() const { return end_cause_; }

  void ready(short events) final;
  void flush() final;

 protected:
  /// The connection that was begun is made.
  virtual void connected() {}
  /// `bytes` are valid during the call alone.
  virtual void received(std::string_view bytes) = 0;
  /// Called once; the socket is closed, and nothing more comes.
  virtual void ended() = 0;
  /// The peer read so little that its unwritten bytes were given up for other connections; the stream ends.
  virtual void backlog_discarded() {}
  /// Closes the socket and calls `ended` at once; no effect on a stream that has ended.
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
    closed      // there is no socket
  };

  Phase phase_;
  bool end_requested_ = false;      // closed at the end of this turn, in whatever phase
  bool ends_when_written_ = false;  // lingers once all bytes are written
  bool discards_input_ = false;
  std::size_t discarded_after_shutdown_ = 0;
  Loop::TimerId linger_timer_{};
  StreamEnd end_cause_ = StreamEnd::local;

  void watch();
  void linger();
  void discard_input(std::size_t size);
  void outbox_discarded();
  void read();
  void set_end_cause(StreamEnd cause);
};

}  // namespace pathstack::net

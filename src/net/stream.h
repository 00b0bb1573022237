// A TCP connection on the loop.
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
/// ends. Derived classes are told of what comes; they are kept alive to the end of the turn in which they
/// end.
class Stream : public Handler {
 public:
  /// Bounds on the wait for the close of a peer that was sent all that it is owed.
  static constexpr Millis kLingerTimeout{1000};
  static constexpr std::size_t kLingerMaxBytes = std::size_t{1} << 20;

  Stream(Loop& loop, BufferPool& pool, Socket socket, bool connecting);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void write(std::string_view bytes);  // goes out at the end of the turn
  bool flush_now();                    // false if some bytes must wait or the stream ends
  void end_later();                    // ends it from the loop, for callers that `ended` must not interrupt
  /// Ends it from the loop, without a reset that could overtake what was written: hands all bytes to the
  /// kernel, shuts down sending, and discards input until the peer closes. The last step is bounded by
  /// `kLingerTimeout` and `kLingerMaxBytes`, the first one by the caller.
  void end_when_written();
  void keep_open() { ends_when_written_ = false; }  // takes that back, until sending is shut down
  /// From now on input is discarded instead of passed to `received`. A close of the peer still ends the
  /// stream.
  void stop_receiving() { discards_input_ = true; }
  bool discards_input() const { return discards_input_; }
  bool open() const { return static_cast<bool>(socket_) && !connecting_; }
  bool connecting() const { return static_cast<bool>(socket_) && connecting_; }
  bool ending() const { return ending_ || lingers_ || !socket_; }  // nothing written now would go out
  /// True if poll(2) has something to tell: bytes that were not read yet, a close or an error.
  bool has_input() const;
  const Outbox& outbox() const { return outbox_; }
  StreamEnd end_cause() const { return end_cause_; }

  void ready(short events) final;
  void flush() final;

 protected:
  virtual void connected() {}
  virtual void received(std::string_view bytes) = 0;
  virtual void ended() = 0;  // once; the socket is closed, nothing more comes
  /// The peer read so little that its unwritten bytes were given up for other connections; the stream ends.
  virtual void backlog_discarded() {}
  void end();
  Loop& loop() const { return loop_; }

 private:
  Loop& loop_;
  Socket socket_;
  Outbox outbox_;
  bool connecting_ = false, ending_ = false, ends_when_written_ = false;
  bool discards_input_ = false;
  bool lingers_ = false;  // sending is shut down
  std::size_t discarded_after_shutdown_ = 0;
  Loop::TimerId linger_timer_{};

  StreamEnd end_cause_ = StreamEnd::local;

  void watch();
  void linger();
  void discard_input(std::size_t size);
  void discarded();
  void read();
  void note_end(StreamEnd cause);
};

}  // namespace pathstack::net

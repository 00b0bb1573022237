// The event loop of the program: one thread, one poll(2) a turn.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/buffer.h"

namespace pathstack::net {

using pathstack::Millis;

/// The user of one descriptor. Called by the loop alone, on its thread.
class Handler {
 public:
  virtual ~Handler() = default;
  /// poll(2) has returned `events` for the descriptor.
  virtual void ready(short events) = 0;
  /// The end of a turn for which `Loop::flush_later` was called.
  virtual void flush() {}
};

/// A turn waits for descriptors and timers, reads all that is readable, runs timers, lets the program decide,
/// and then writes what all of that has queued, so that several writes to one peer leave together.
///
/// Not thread-safe: everything runs on the thread that calls `turn`. Handlers are not owned and have to be
/// forgotten before they are destroyed.
class Loop {
 public:
  /// Names a timer, and orders timers: by time, then by the order in which they were set. The default value
  /// names none.
  struct TimerId {
    Millis due{0};
    std::uint64_t serial = 0;
    bool operator<(const TimerId& other) const {
      return std::tie(due, serial) < std::tie(other.due, other.serial);
    }
  };

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Unix time, by the system's clock at the construction and by the monotonic clock from there on: a step of
  /// the system's clock doesn't change it.
  Millis now() const;

  /// When poll(2) of this turn returned: what is read in the turn had arrived by then.
  Millis turn_began() const { return turn_began_; }

  /// What is read in this turn had not yet arrived by then: when the poll(2) before this turn's returned.
  /// After a stall of the process it tells how old the input may be.
  Millis previous_poll() const { return previous_poll_; }

  /// The one buffer into which all streams read; its content is used up before the next read.
  BufferPool::Block& read_buffer() { return read_buffer_; }

  /// Reports `events` of poll(2) for `fd` to `handler`; a further call for the same `fd` changes them. O(1).
  void watch(int fd, Handler& handler, short events);

  /// Must be called before `fd` is closed or `handler` destroyed: events of a reused descriptor would else go
  /// to the wrong handler. Also drops a flush that is due. Cost: the number of flushes due in this turn.
  void unwatch(int fd, Handler& handler);

  /// Calls `handler.flush()` once at the end of this turn. Cost: the number of flushes due in this turn.
  void flush_later(Handler& handler);

  /// Calls `callback` in the first turn at or after `when`, a time of `now()`. O(log n) in the timers set.
  TimerId at(Millis when, std::function<void()> callback);

  /// No effect if the timer has fired or was cancelled. O(log n) in the timers set.
  void cancel(const TimerId& id) { timers_.erase(id); }

  /// Keeps an ended object to the end of the turn, when no call on the stack can still be inside it.
  void defer_destruction(std::shared_ptr<void> ended) { deferred_.push_back(std::move(ended)); }

  /// Runs one turn; waits until `due` at most, and no longer than timers allow or a second. `decide` runs
  /// between reads and writes. Cost: linear in the watched descriptors, as that of poll(2).
  void turn(Millis due, const std::function<void()>& decide);

 private:
  struct Entry {
    Handler* handler = nullptr;
    short events = 0;
    std::uint64_t serial = 0;  // tells one user of a descriptor from the next
  };
  std::vector<Entry> by_fd_;
  std::vector<pollfd> polled_;
  std::vector<std::uint64_t> polled_serials_;  // of the entries behind `polled_`
  std::vector<Handler*> pending_flushes_;      // null: ended since
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::shared_ptr<void>> deferred_;
  std::uint64_t last_serial_ = 0;
  Millis wall_clock_offset_;  // from the monotonic clock to Unix time
  Millis turn_began_;
  Millis previous_poll_, latest_poll_;  // of those that did not fail
  BufferPool::Block read_buffer_{};

  Millis wait_until(Millis due) const;
  void collect_descriptors();
  /// Polls `polled_` for at most `wait`; the result is that of poll(2). A poll that fails, other than by a
  /// signal, is followed by a short pause, no longer than `wait`.
  int wait_for_events(Millis wait);
  void dispatch_events();
  void run_due_timers();
  void flush();
};

}  // namespace pathstack::net

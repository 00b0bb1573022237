/// The event loop of the program: one thread, one poll(2) per turn.
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

/// Handles the events of one descriptor. Called only by the loop, on its thread.
class Handler {
 public:
  virtual ~Handler() = default;
  /// Called with the `events` that poll(2) returned for the descriptor.
  virtual void ready(short events) = 0;
  /// Called at the end of a turn in which `Loop::flush_later` was called.
  virtual void flush() {}
};

/// An event loop. A turn waits for descriptors and timers, dispatches events, runs due timers, calls the
/// program's decision step, and then flushes all queued writes, so that several writes to one peer are sent
/// together.
///
/// Not thread-safe: everything runs on the thread that calls `turn`. Handlers are not owned and must be
/// unwatched before they are destroyed.
class Loop {
 public:
  /// Identifies a timer. Timers are ordered by time, then by the order in which they were set. The default
  /// value identifies no timer.
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

  /// Unix time, taken from the system clock at construction and advanced by the monotonic clock, so that
  /// steps of the system clock have no effect.
  Millis now() const;

  /// When poll(2) of this turn returned. Input that is reported in this turn had arrived by then.
  Millis turn_began() const { return turn_began_; }

  /// When the previous successful poll(2) returned. Input that is read in this turn had not arrived by then,
  /// so this bounds its age after a stall of the process.
  Millis previous_poll() const { return previous_poll_; }

  /// The read buffer shared by all streams. Its content must be consumed before the next read.
  BufferPool::Block& read_buffer() { return read_buffer_; }

  /// Reports `events` of poll(2) for `fd` to `handler`. A later call for the same `fd` replaces both. O(1).
  void watch(int fd, Handler& handler, short events);

  /// Stops reporting events and removes a pending flush of `handler`. Must be called before `fd` is closed or
  /// `handler` is destroyed; otherwise events of a reused descriptor would be reported to the wrong handler.
  /// Cost: linear in the pending flushes.
  void unwatch(int fd, Handler& handler);

  /// Calls `handler.flush()` once at the end of this turn. Cost: linear in the pending flushes.
  void flush_later(Handler& handler);

  /// Calls `callback` in the first turn at or after `when`, on the clock of `now()`. O(log n) in the timers.
  TimerId at(Millis when, std::function<void()> callback);

  /// Cancels a timer. No effect if it has fired or was cancelled. O(log n) in the timers.
  void cancel(const TimerId& id) { timers_.erase(id); }

  /// Keeps an ended object alive until the end of the turn, when no call on the stack can be inside it.
  void defer_destruction(std::shared_ptr<void> ended) { deferred_.push_back(std::move(ended)); }

  /// Runs one turn. Waits until `due` or the next timer, whichever is earlier, and for one second at most.
  /// `decide` runs between reads and writes. Cost: linear in the watched descriptors, as for poll(2).
  void turn(Millis due, const std::function<void()>& decide);

 private:
  struct Entry {
    Handler* handler = nullptr;
    short events = 0;
    std::uint64_t serial = 0;  // distinguishes successive users of a descriptor
  };
  std::vector<Entry> by_fd_;
  std::vector<pollfd> polled_;
  std::vector<std::uint64_t> polled_serials_;  // serials of the entries in `polled_`
  std::vector<Handler*> pending_flushes_;      // null if unwatched since
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::shared_ptr<void>> deferred_;
  std::uint64_t last_serial_ = 0;
  Millis wall_clock_offset_;  // from the monotonic clock to Unix time
  Millis turn_began_;
  Millis previous_poll_, latest_poll_;  // returns of successful polls
  BufferPool::Block read_buffer_{};

  Millis wait_until(Millis due) const;
  void collect_descriptors();
  /// Polls `polled_` for at most `wait` and returns the result of poll(2). Pauses briefly, for at most
  /// `wait`, after a poll that failed for a reason other than a signal.
  int wait_for_events(Millis wait);
  void dispatch_events();
  void run_due_timers();
  void flush();
};

}  // namespace pathstack::net

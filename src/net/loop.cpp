#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>

#include "net/system_calls.h"

namespace pathstack::net {
namespace {

constexpr Millis kMaxWait{1000};
constexpr Millis kFailedPollPause{10};  // a failing poll(2) returns immediately, and the loop would spin

template <typename Clock>
Millis time_of() {
  return Clock::now().time_since_epoch();
}

}  // namespace

Loop::Loop()
    : wall_clock_offset_(time_of<std::chrono::system_clock>() - time_of<std::chrono::steady_clock>()),
      turn_began_(now()),
      previous_poll_(turn_began_),
      latest_poll_(turn_began_) {}

Loop::~Loop() = default;

Millis Loop::now() const { return time_of<std::chrono::steady_clock>() + wall_clock_offset_; }

void Loop::watch(int fd, Handler& handler, short events) {
  const auto index = static_cast<std::size_t>(fd);
  if (index >= by_fd_.size()) by_fd_.resize(index + 1);
  Entry& entry = by_fd_[index];
  if (entry.handler != &handler) entry.serial = ++last_serial_;
  entry.handler = &handler;
  entry.events = events;
}

void Loop::unwatch(int fd, Handler& handler) {
  const auto index = static_cast<std::size_t>(fd);
  if (fd >= 0 && index < by_fd_.size() && by_fd_[index].handler == &handler) by_fd_[index] = Entry();
  std::replace(pending_flushes_.begin(), pending_flushes_.end(), &handler, static_cast<Handler*>(nullptr));
}

void Loop::flush_later(Handler& handler) {
  const bool is_due =
      std::find(pending_flushes_.begin(), pending_flushes_.end(), &handler) != pending_flushes_.end();
  if (!is_due) pending_flushes_.push_back(&handler);
}

Loop::TimerId Loop::at(Millis when, std::function<void()> callback) {
  const TimerId id{when, ++last_serial_};
  timers_.emplace(id, std::move(callback));
  return id;
}

void Loop::turn(Millis due, const std::function<void()>& decide) {
  const Millis wait = wait_until(due);
  collect_descriptors();
  const int ready_count = wait_for_events(wait);
  turn_began_ = now();
  if (ready_count >= 0) previous_poll_ = std::exchange(latest_poll_, turn_began_);
  if (ready_count > 0) dispatch_events();
  run_due_timers();
  decide();
  flush();
  deferred_.clear();
}

Millis Loop::wait_until(Millis due) const {
  const Millis until = timers_.empty() ? due : std::min(due, timers_.begin()->first.due);
  return std::min(std::max(until - now(), Millis(0)), kMaxWait);
}

void Loop::collect_descriptors() {
  polled_.clear();
  polled_serials_.clear();
  for (std::size_t fd = 0; fd < by_fd_.size(); ++fd) {
    const Entry& entry = by_fd_[fd];
    if (entry.handler == nullptr) continue;
    polled_.push_back({static_cast<int>(fd), entry.events, 0});
    polled_serials_.push_back(entry.serial);
  }
}

int Loop::wait_for_events(Millis wait) {
  const int timeout_ms = static_cast<int>(std::ceil(wait.count()));
  const int ready_count = system_calls().poll(polled_.data(), polled_.size(), timeout_ms);
  if (ready_count < 0 && errno != EINTR) {
    pause_for(std::chrono::duration_cast<std::chrono::nanoseconds>(std::min(wait, kFailedPollPause)));
  }
  return ready_count;
}

// A handler may end other handlers, and the descriptors that they close may be reused. Events that were
// polled for the former user of a descriptor have a different serial and are not dispatched to the new one.
void Loop::dispatch_events() {
  for (std::size_t i = 0; i < polled_.size(); ++i) {
    if (polled_[i].revents == 0) continue;
    const Entry& entry = by_fd_[static_cast<std::size_t>(polled_[i].fd)];
    const bool is_same_watch = entry.handler != nullptr && entry.serial == polled_serials_[i];
    if (is_same_watch) entry.handler->ready(polled_[i].revents);
  }
}

// Reads the clock once, so that a timer that sets another timer for now cannot keep the turn from ending.
void Loop::run_due_timers() {
  const Millis until = now();
  while (!timers_.empty() && timers_.begin()->first.due <= until) {
    const auto callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
}

void Loop::flush() {
  // Iterates by index: a flush may queue further flushes, and an unwatched handler leaves a null entry.
  std::size_t next = 0;
  while (next < pending_flushes_.size()) {
    Handler* handler = std::exchange(pending_flushes_[next++], nullptr);
    if (handler != nullptr) handler->flush();
  }
  pending_flushes_.clear();
}

}  // namespace pathstack::net

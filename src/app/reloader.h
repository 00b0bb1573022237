// Takes a new configuration into force, and tries again if its file is being written.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "core/types.h"
#include "net/loop.h"

namespace pathstack::app {

/// Calls `reload` on request, and again with backoff while it throws: the signal may come when the file has
/// been written half, or is just being replaced. Bounded: after `kMaxAttempts`, 4.75 s from the request, it
/// gives up. A new request starts anew.
class Reloader {
 public:
  static constexpr std::size_t kMaxAttempts = 13;
  static constexpr core::Millis kFirstRetryDelay{50}, kMaxRetryDelay{500};

  /// Throws what names the fault, and has then changed nothing.
  using Reload = std::function<void()>;
  /// Called with the first fault after a request, with each that differs from the one before, and with the
  /// last, after which there is no further attempt.
  using OnFault = std::function<void(const std::string& fault, bool last)>;

  Reloader(net::Loop& loop, Reload reload, OnFault on_fault)
      : loop_(loop), reload_(std::move(reload)), on_fault_(std::move(on_fault)) {}
  ~Reloader() { loop_.cancel(retry_); }
  Reloader(const Reloader&) = delete;
  Reloader& operator=(const Reloader&) = delete;

  /// Reloads at once.
  void request();

 private:
  net::Loop& loop_;
  Reload reload_;
  OnFault on_fault_;
  net::Loop::TimerId retry_{};
  std::size_t attempts_ = 0;
  core::Millis retry_delay_{0};
  std::string last_fault_;

  void try_reload();
  void on_failure(const std::string& fault);
};

}  // namespace pathstack::app

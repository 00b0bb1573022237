/// Reloads the configuration on request, with retries while its file is being written.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "core/types.h"
#include "net/loop.h"

namespace pathstack::app {

/// Calls `reload` on request and retries with backoff while it throws, as the signal may arrive when the file
/// is only partly written or is just being replaced. Gives up after `kMaxAttempts`, 4.75 s from the request.
/// A new request restarts the attempts.
class Reloader {
 public:
  /// Attempts for one request, and the delays between them: doubled from the first up to the maximum.
  static constexpr std::size_t kMaxAttempts = 13;
  static constexpr core::Millis kFirstRetryDelay{50}, kMaxRetryDelay{500};

  /// Throws an exception that describes the fault, and then must not have changed anything.
  using Reload = std::function<void()>;
  /// Called with the first fault after a request, with each fault that differs from the previous one, and
  /// with the fault of the last attempt, for which `last` is true.
  using OnFault = std::function<void(const std::string& fault, bool last)>;

  /// `loop` must outlive this object.
  Reloader(net::Loop& loop, Reload reload, OnFault on_fault)
      : loop_(loop), reload_(std::move(reload)), on_fault_(std::move(on_fault)) {}
  ~Reloader() { loop_.cancel(retry_); }
  Reloader(const Reloader&) = delete;
  Reloader& operator=(const Reloader&) = delete;

  /// Reloads at once; cancels a pending retry.
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

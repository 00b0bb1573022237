/// Decides when a watched file must be read again.
#pragma once

#include <algorithm>
#include <string>

#include "core/types.h"

namespace pathstack::xds {

/// Decides from the stamps of a file (inode, size, modification time) when the file must be read.
///
/// Two writes within one tick of the file system's clock leave the same stamp, so a file is read again until
/// its stamp has been unchanged for `kSettleTime`. That time is measured on the monotonic clock: the times of
/// the file are on the wall clock, which may be stepped, and are only compared for equality. A failed read is
/// repeated with backoff, as its cause may go away without a change of the stamp. Every call is O(1).
class FileWatch {
 public:
  static constexpr core::Millis kSettleTime{2000};
  static constexpr core::Millis kInitialRetryDelay{500}, kMaxRetryDelay{8000};

  /// Returns true if the file must be read now. `stamp`: taken before the read; empty if there is no file.
  bool needs_read(const std::string& stamp, core::Millis now) {
    if (stamp.empty()) return false;  // absent for a moment while it is replaced
    changed_ = stamp != stamp_;
    if (changed_) {
      stamp_ = stamp;
      first_seen_ = now;
      settled_ = false;
      retry_delay_ = kInitialRetryDelay;
      failed_ = false;
    }
    if (settled_) return failed_ && now >= retry_at_;
    settled_ = now - first_seen_ >= kSettleTime;  // the last read for this stamp
    return true;
  }

  /// Returns true if the last `needs_read` got a stamp that differs from the one before.
  bool changed() const { return changed_; }

  /// Reports the result of the read that `needs_read` requested.
  void read_done(bool succeeded, core::Millis now) {
    failed_ = !succeeded;
    if (succeeded) return;
    retry_at_ = now + retry_delay_;
    if (settled_) retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
  }

 private:
  std::string stamp_;
  core::Millis first_seen_{0}, retry_at_{0}, retry_delay_{kInitialRetryDelay};
  bool changed_ = false, settled_ = false, failed_ = false;
};

}  // namespace pathstack::xds

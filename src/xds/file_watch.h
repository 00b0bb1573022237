// When a file has to be read again.
#pragma once

#include <algorithm>
#include <string>

#include "core/types.h"

namespace pathstack::xds {

/// Decides from a file's stamps (inode, size, time of change) when it has to be read.
///
/// Two writings within one tick of the file system's clock bear the same stamp, so a file is read again until
/// its stamp has been seen for `kSettleTime`. That span is one of the monotonic clock: the file's own times
/// are of the wall clock, which may be stepped, and serve as marks only. A reading that failed is repeated
/// with backoff, as its cause may leave the stamp as it is. Every call is O(1).
class FileWatch {
 public:
  static constexpr core::Millis kSettleTime{2000};
  static constexpr core::Millis kInitialRetryDelay{500}, kMaxRetryDelay{8000};

  /// True if the file is to be read now. `stamp`: as taken before the reading; empty if there is no file.
  bool needs_read(const std::string& stamp, core::Millis now) {
    if (stamp.empty()) return false;  // a file that is just being replaced comes back
    changed_ = stamp != stamp_;
    if (changed_) {
      stamp_ = stamp;
      first_seen_ = now;
      settled_ = false;
      retry_delay_ = kInitialRetryDelay;
      failed_ = false;
    }
    if (settled_) return failed_ && now >= retry_at_;
    settled_ = now - first_seen_ >= kSettleTime;  // this reading is the last of this stamp
    return true;
  }

  /// True if the last `needs_read` saw another stamp than the one before.
  bool changed() const { return changed_; }

  /// The result of the reading that was asked for.
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

/// Which refs of ended attempts may still get an answer on a connection.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/types.h"

namespace pathstack::hosts {

using core::Millis;

/// The refs of the attempts that have ended on one connection.
///
/// A host knows a request by its ref alone, so a late or second answer to an ended attempt would end a
/// further attempt under the same ref. A ref may be used again on its connection once no such answer can come
/// any more: an answered one after the duplicate window; a cancelled one after that window too, and only when
/// the host has answered something that was written behind the cancellation, which shows that it has read it
/// (both directions of a connection keep their order). Refs are forgotten after 10 s, or when 2,048 newer
/// ones are kept.
///
/// All operations take amortised constant time.
class RefHistory {
 public:
  /// What an answer to no open attempt is.
  enum class LateAnswer { first, duplicate, unknown };

  /// A host may send an answer twice within `duplicate_window`.
  explicit RefHistory(Millis duplicate_window) : duplicate_window_(duplicate_window) {}

  /// The attempt under `ref` has got its answer.
  void answered(const std::string& ref, Millis now);
  /// The attempt under `ref` was cancelled; `cancel_end` is the offset behind the cancellation's last byte.
  void cancelled(const std::string& ref, Millis now, std::uint64_t cancel_end);
  /// A request was answered whose last byte stood before the offset `request_end`.
  void confirm_read(std::uint64_t request_end);
  /// Classifies an answer to none of the open attempts: the first one to a cancelled attempt, a further one
  /// to an attempt that has its answer, or one that belongs to nothing sent here.
  LateAnswer record_late_answer(const std::string& ref, Millis now);
  /// True if an attempt may go out under `ref`.
  bool reusable(const std::string& ref, Millis now) const;
  /// Forgets `ref`, which is about to be used again.
  void reuse(const std::string& ref) { entries_.erase(ref); }

 private:
  struct Entry {
    Millis ended{0};
    std::uint64_t cancel_end = 0;  // 0: answered
  };
  Millis duplicate_window_;
  std::uint64_t confirmed_ = 0;  // the host has read all bytes before this offset
  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::pair<Millis, std::string>> order_;  // oldest first; may name refs used again since

  void add(const std::string& ref, const Entry& entry);
  void expire(Millis now);
};

}  // namespace pathstack::hosts

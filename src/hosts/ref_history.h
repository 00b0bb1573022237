/// Tracks the refs of ended attempts for which a connection may still receive an answer.
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
/// A host identifies a request by its ref alone, so a late or duplicate answer to an ended attempt would be
/// taken for the answer to a later attempt under the same ref. A ref may be reused on its connection once no
/// such answer can arrive any more. For an answered attempt that is after the duplicate window. For a
/// cancelled attempt it is after the duplicate window and once the host has answered a request that was
/// written after the cancellation: each direction of a connection keeps its order, so the host has read the
/// cancellation. The ref of an answered attempt is forgotten after the duplicate window, that of a cancelled
/// one after 10 s, and each when 2,048 newer refs of its kind are recorded.
///
/// All operations take amortised constant time.
class RefHistory {
 public:
  /// Kinds of answers that belong to no open attempt: the first answer to a cancelled attempt, a further
  /// answer to an answered attempt, and an answer to no known attempt.
  enum class LateAnswer { first, duplicate, unknown };

  /// `duplicate_window` is the time within which a host may send an answer a second time.
  explicit RefHistory(Millis duplicate_window) : duplicate_window_(duplicate_window) {}

  /// Records that the attempt under `ref` was answered.
  void answered(const std::string& ref, Millis now);
  /// Records that the attempt under `ref` was cancelled. `cancel_end` is the offset after the last byte of
  /// the cancellation in the output stream.
  void cancelled(const std::string& ref, Millis now, std::uint64_t cancel_end);
  /// Records that the host has read the output stream up to the offset `request_end`, as it has answered the
  /// request that ends there.
  void confirm_read(std::uint64_t request_end);
  /// Classifies an answer that belongs to no open attempt; one whose ref is forgotten is unknown. The first
  /// answer to a cancelled attempt restarts the duplicate window of its ref.
  LateAnswer record_late_answer(const std::string& ref, Millis now);
  /// True if an attempt may be sent under `ref`.
  bool reusable(const std::string& ref, Millis now) const;
  /// Forgets `ref`, which is about to be reused.
  void reuse(const std::string& ref) { entries_.erase(ref); }

 private:
  struct Entry {
    Millis ended{0};
    std::uint64_t cancel_end = 0;  // 0 if answered
  };
  Millis duplicate_window_;
  std::uint64_t confirmed_ = 0;  // the host has read all bytes before this offset
  std::unordered_map<std::string, Entry> entries_;
  // Oldest first; may contain refs that were reused since.
  using Order = std::deque<std::pair<Millis, std::string>>;
  Order answered_, cancelled_;

  void add(const std::string& ref, const Entry& entry, Order& order);
  void expire(Millis now);
  void expire(Order& order, Millis now, Millis retention);
};

}  // namespace pathstack::hosts

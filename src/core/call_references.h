/// The call references that are in use.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "core/types.h"

namespace pathstack::core {

/// Keeps each reference unique among the open calls and the recently ended ones.
///
/// Hosts identify a call by its reference alone, and a late answer may still arrive under the reference of an
/// ended call: if two calls had one reference, one could get the answer of the other. The reference of an
/// ended call is removed after 10 s, or when 8,192 calls have ended since. Memory: one entry for each open
/// call and at most 8,192 more. Reads no clock; both operations take amortised constant time.
class CallReferences {
 public:
  /// How long and how many references of ended calls are kept at most.
  static constexpr Millis kRetentionTime{10000};
  static constexpr std::size_t kMaxEnded = 8192;

  /// Adds the reference of a new call. Returns false and adds nothing if the reference is in use by an open
  /// or recently ended call.
  bool try_add(const std::string& ref) { return refs_.insert(ref).second; }

  /// Records that the call under `ref` ended at `now`, and removes expired references; nothing else removes
  /// any. Must be called exactly once for each successful `try_add`, and `now` must not decrease between
  /// calls.
  void note_ended(const std::string& ref, Millis now);

  /// The number of references that cannot be added.
  std::size_t size() const { return refs_.size(); }

 private:
  std::unordered_set<std::string> refs_;
  std::deque<std::pair<Millis, std::string>> ended_;  // oldest first
};

}  // namespace pathstack::core

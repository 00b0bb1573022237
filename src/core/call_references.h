/// The references under which calls may not be taken.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "core/types.h"

namespace pathstack::core {

/// Keeps each reference unique among the open calls and those that ended a short while ago.
///
/// Hosts know a call by its reference alone, and a late answer may still come under that of an ended call:
/// with two calls under one reference, one would get the other's answer. Those of ended calls are forgotten
/// after 10 s, or when 8,192 calls have ended since. Memory: the open calls and at most 8,192 more. Knows no
/// clock; both operations take amortised constant time.
class CallReferences {
 public:
  static constexpr Millis kRetentionTime{10000};
  static constexpr std::size_t kMaxEnded = 8192;

  /// Adds the reference of a call that opens; false, and nothing is added, if it is in use or ended lately.
  bool try_add(const std::string& ref) { return refs_.insert(ref).second; }

  /// The call under `ref` has ended at `now`. Must follow one `try_add` that succeeded, once, and `now` must
  /// not decrease from call to call. The only place where references are forgotten.
  void note_ended(const std::string& ref, Millis now);

  /// References that can't be added.
  std::size_t size() const { return refs_.size(); }

 private:
  std::unordered_set<std::string> refs_;
  std::deque<std::pair<Millis, std::string>> ended_;  // oldest first
};

}  // namespace pathstack::core

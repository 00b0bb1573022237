/// A rate limit on the refusals that one client may cause.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pathstack::resp {

/// A token bucket for calls of one client that are refused through no fault of the client.
///
/// Beyond the rate the input of the client waits in the kernel and nothing of it is thrown away, so a client
/// that repeats each refused call at once leaves time for the others. The wait is bounded, as cancels wait
/// too.
class RefusalPacer {
 public:
  static constexpr double kBurst = 64;         // refusals without a wait
  static constexpr double kPerSecond = 100;    // refusals that a client may cause in the long run
  static constexpr core::Millis kMaxWait{80};  // an attempt may begin 100 ms after its client has left

  /// Notes a refusal at `now`, which must not decrease. Returns how long the input of the client is to wait,
  /// zero within the rate.
  core::Millis note(core::Millis now) {
    const double refilled = tokens_ + (now - noted_at_).count() * kPerMillisecond;
    noted_at_ = now;
    tokens_ = std::max(std::min(refilled, kBurst) - 1, -kMaxWait.count() * kPerMillisecond);
    return core::Millis(std::max(0.0, -tokens_ / kPerMillisecond));
  }

 private:
  static constexpr double kPerMillisecond = kPerSecond / 1000;
  double tokens_ = kBurst;  // below 0 while input waits
  core::Millis noted_at_{0};
};

}  // namespace pathstack::resp

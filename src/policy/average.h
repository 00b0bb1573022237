/// Moving average that limits the influence of outliers.
#pragma once

#include <algorithm>

namespace pathstack::policy {

/// Arithmetic mean of the first samples, then an exponentially weighted moving average (EWMA) with the given
/// gain. A sample above `outlier` times the average is reduced to that. O(1) in time and space.
struct Average {
  double value = 0;
  int samples = 0;

  void add(double sample, double gain, double outlier) {
    if (samples > 0) sample = std::min(sample, outlier * value);
    value += std::max(gain, 1.0 / (samples + 1)) * (sample - value);
    if (samples < 1000) ++samples;
  }

  bool known() const { return samples > 0; }
};

}  // namespace pathstack::policy

// The unit of time that all modules share.
#pragma once

#include <chrono>

namespace pathstack {

/// A span of time, or a point in time as the span since the epoch of a clock that the user names; in
/// milliseconds, with fractions. The decision module's public header has the same type under its own name.
using Millis = std::chrono::duration<double, std::milli>;

}  // namespace pathstack

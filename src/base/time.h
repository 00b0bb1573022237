/// The time type that all modules share.
#pragma once

#include <chrono>

namespace pathstack {

/// A duration, or a point in time as the duration since the epoch of a clock that the user names, in
/// milliseconds with fractions. The decision module's public header declares the same type as
/// `policy::Millis`.
using Millis = std::chrono::duration<double, std::milli>;

}  // namespace pathstack

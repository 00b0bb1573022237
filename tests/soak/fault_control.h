// What the preloaded fault library is told, in a file that both sides map.
#pragma once

#include <atomic>
#include <cstdint>

namespace pathstack::soak {

/// Name of the environment variable that holds the file's path.
inline constexpr const char* kFaultControlVariable = "PATHSTACK_SOAK_FAULTS";

/// All zero: no fault.
struct FaultControl {
  std::atomic<std::int64_t> wall_clock_offset_ms;
  std::atomic<std::uint32_t> failures_per_mille;  // of the system calls that may fail
};

}  // namespace pathstack::soak

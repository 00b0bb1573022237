/// Settings of the preloaded fault library, in a file that the soak test and the invoker both map.
#pragma once

#include <atomic>
#include <cstdint>

namespace pathstack::soak {

/// Environment variable with the path of the control file.
inline constexpr const char* kFaultControlVariable = "PATHSTACK_SOAK_FAULTS";

/// Content of the control file. All fields zero: no faults.
struct FaultControl {
  std::atomic<std::int64_t> wall_clock_offset_ms;
  std::atomic<std::uint32_t> failures_per_mille;  // of each system call that may fail
};

}  // namespace pathstack::soak

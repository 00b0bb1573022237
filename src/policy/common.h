/// Definitions shared by the components of the decision module: indices, constants, the random number
/// generator and the sink for actions.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "pathstack/policy.h"

namespace pathstack::policy {

/// Index of a worker in the worker table; other components store their data about a worker under the same
/// index. Valid from the list that adds the worker until the table prunes it; then the index is reused.
using WorkerIndex = std::uint32_t;

/// A time before any that a clock returns.
inline constexpr Millis kNever{-1e15};

/// Interval of periodic maintenance: well below any latency objective, and cheap in CPU time.
inline constexpr Millis kSweepInterval{20};

/// Shortest time without an answer that counts as a stall; pauses of a healthy worker are shorter.
inline constexpr Millis kMinStallTime{400};

/// Number of invokers from which on the replicas that all invokers choose for a function are most likely
/// loaded.
inline constexpr double kManyInvokers = 20;

/// Backoff after a local fault (no descriptor, port or connection available).
inline constexpr Millis kLocalFaultBackoff{40};

/// Time constant of the decaying count of a function's arrivals: about one keep-alive time.
inline constexpr Millis kDemandTimeConstant{10000};

inline bool has_many_invokers(const Settings& settings) { return settings.invokers >= kManyInvokers; }

/// What remains at `now` of one unit recorded at `since`, under exponential decay with `time_constant`.
inline double decay(Millis now, Millis since, Millis time_constant) {
  return std::exp(-((now - since) / time_constant));
}

/// Index of a class in tables by class: 0 for requests of an unknown class, whose class index is -1.
inline std::size_t class_slot(int class_index) { return 1 + static_cast<std::size_t>(class_index); }

/// Settings of a class; null for requests of an unknown class.
inline const ClassSettings* class_settings(const Settings& settings, int class_index) {
  return class_index < 0 ? nullptr : &settings.classes[static_cast<std::size_t>(class_index)];
}

/// The shortest latency objective of all classes in milliseconds; 1e9 if no class has one.
inline double shortest_objective_ms(const Settings& settings) {
  double shortest = 1e9;
  for (const ClassSettings& c : settings.classes) {
    if (c.latency_objective.count() > 0) shortest = std::min(shortest, c.latency_objective.count());
  }
  return shortest;
}

/// The random number generator of the module. All components share one, seeded by the settings, so that the
/// same events always give the same actions.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }

  /// A random multiple of 0.001 in [0, 1).
  double fraction() { return static_cast<double>(engine_() % 1000) / 1000; }

 private:
  std::mt19937_64 engine_;
};

/// Collects the actions of all components. The output vector belongs to the caller of Policy::handle and is
/// set anew for each event; `emit` needs one.
class ActionSink {
 public:
  void write_to(std::vector<Action>& out) { out_ = &out; }
  template <typename AnyAction>
  void emit(AnyAction&& action) {
    out_->emplace_back(std::forward<AnyAction>(action));
  }

 private:
  std::vector<Action>* out_ = nullptr;
};

}  // namespace pathstack::policy

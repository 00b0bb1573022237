// What all parts of the decision module share: indices, points in time, randomness and the list of actions.
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

/// Place of a worker in the worker table; other parts keep what they know of a worker under the same index.
/// Valid from the list that adds the worker until the table prunes it; then it is given to another worker.
using WorkerIndex = std::size_t;

/// Before any time of any clock.
inline constexpr Millis kNever{-1e15};

/// Pace of upkeep: well under any latency objective, cheap in CPU.
inline constexpr Millis kSweepInterval{20};

/// Least quiet spell that counts as a stall; pauses of a healthy worker are shorter.
inline constexpr Millis kMinStallTime{400};

/// From so many invokers on, the replicas that all invokers agree on for a function are most likely loaded.
inline constexpr double kManyInvokers = 20;

/// Backoff after a fault of this machine (no descriptor, port or connection to be had).
inline constexpr Millis kLocalFaultBackoff{40};

/// Memory of a function's arrivals: about a keep-alive.
inline constexpr Millis kDemandTimeConstant{10000};

inline bool has_many_invokers(const Settings& settings) { return settings.invokers >= kManyInvokers; }

/// What is left at `now` of one unit noted at `since`, decaying exponentially with the given time constant.
inline double decay(Millis now, Millis since, Millis time_constant) {
  return std::exp(-((now - since) / time_constant));
}

/// Place of a class in tables by class: 0 for requests of no known class, whose index is -1.
inline std::size_t class_slot(int class_index) { return 1 + static_cast<std::size_t>(class_index); }

/// Settings of a class; none for requests of no known class.
inline const ClassSettings* class_settings(const Settings& settings, int class_index) {
  return class_index < 0 ? nullptr : &settings.classes[static_cast<std::size_t>(class_index)];
}

/// The shortest latency objective of all classes in milliseconds; very long if no class has one.
inline double shortest_objective_ms(const Settings& settings) {
  double shortest = 1e9;
  for (const ClassSettings& c : settings.classes) {
    if (c.latency_objective.count() > 0) shortest = std::min(shortest, c.latency_objective.count());
  }
  return shortest;
}

/// The module's source of randomness. Parts share one, seeded by the settings, so that a stream of events
/// always gives the same actions.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }

  /// A multiple of a thousandth in [0, 1).
  double fraction() { return static_cast<double>(engine_() % 1000) / 1000; }

 private:
  std::mt19937_64 engine_;
};

/// Takes the actions of the parts. `out` belongs to the caller of Policy::handle and is set for each event.
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

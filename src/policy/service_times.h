// Estimates of how long functions run and load.
#pragma once

#include <vector>

#include "policy/average.h"
#include "policy/common.h"

namespace pathstack::policy {

/// What is known of the times of one function, in milliseconds.
struct FunctionTimes {
  int class_index = -1;
  Average run;              // R of the paper
  Average load;             // L of the paper
  double unloaded_run = 0;  // slow-moving least of R: what a run takes at a worker that is not busy
  double load_hint = 0;     // usual time of a load as requests state it; 0: not known
};

/// Run and load times, by function where there are samples, else by class, else over all functions.
///
/// Owned by Policy; written by OutcomeRecorder, read by nearly all parts. Every call is O(1); one record for
/// each class. All times are in milliseconds; 0 means that nothing is known yet.
class ServiceTimes {
 public:
  explicit ServiceTimes(const Settings& settings);

  double run(const FunctionTimes& function) const;
  double unloaded_run(const FunctionTimes& function) const;
  double load(const FunctionTimes& function) const;

  /// Expected work of a request of the class. Before any answer it is a quarter of the class's latency
  /// objective; never 0.
  double work(int class_index) const;
  double class_unloaded_run(int class_index) const { return classes_[class_slot(class_index)].unloaded_run; }
  double mean_run() const { return all_runs_.value; }
  double mean_load() const { return all_loads_.value; }

  /// How long a run of `run` may stay unanswered before its worker counts as silent.
  Millis run_timeout(double run) const;
  /// How long a load of `load` is waited for; `load` may be 0, not known.
  Millis load_timeout(double load) const;
  /// How long an order may stay unanswered before it counts as failed.
  Millis order_timeout(const FunctionTimes& function) const;

  void record_run(FunctionTimes& function, int class_index, double elapsed);
  void record_load(FunctionTimes& function, double elapsed);

 private:
  struct ClassTimes {
    Average run;
    double unloaded_run = 0;
  };

  const Settings& settings_;
  const double shortest_objective_;
  std::vector<ClassTimes> classes_;  // by class_slot
  Average all_runs_;
  Average all_loads_;
};

}  // namespace pathstack::policy

/// Estimates how long functions run and load.
#pragma once

#include <vector>

#include "policy/average.h"
#include "policy/common.h"

namespace pathstack::policy {

/// The measured times of one function, in milliseconds.
struct FunctionTimes {
  int class_index = -1;
  Average run;              // average run time (R in the paper)
  Average load;             // average load time (L in the paper)
  double unloaded_run = 0;  // slowly rising minimum of `run`: the run time at a worker that is not busy
  double load_hint = 0;     // usual load time as stated by requests; 0: unknown
};

/// Run and load times: those of the function if it has samples, otherwise estimates from its class, from the
/// load time that requests state, or from all functions.
///
/// Owned by Engine; written by OutcomeRecorder, read by nearly all components. Every call is O(1); memory is
/// one record per class. All times are in milliseconds; 0 means that the time is unknown.
class ServiceTimes {
 public:
  explicit ServiceTimes(const Settings& settings);

  /// Average run time of the function, otherwise of its class.
  double run(const FunctionTimes& function) const;
  /// Run time at a worker that is not busy: of the function once it has enough samples, otherwise of its
  /// class, otherwise `run`.
  double unloaded_run(const FunctionTimes& function) const;
  /// Average load time of the function, otherwise the stated load time, otherwise the average of all
  /// functions.
  double load(const FunctionTimes& function) const;

  /// Expected run time of a request of the class. Before the class has samples: the larger of the average
  /// over all functions and a quarter of the class's latency objective. Never 0.
  double work(int class_index) const;
  double class_unloaded_run(int class_index) const { return classes_[class_slot(class_index)].unloaded_run; }
  double mean_run() const { return all_runs_.value; }
  double mean_load() const { return all_loads_.value; }

  /// Time after which an unanswered run with the usual time `run` counts as lost and its worker as stalled.
  Millis run_timeout(double run) const;
  /// Time after which a load with the usual time `load` is no longer waited for; `load` may be 0 (unknown).
  Millis load_timeout(double load) const;
  /// Time after which an unanswered load order counts as failed.
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

#include "policy/service_times.h"

#include <algorithm>

namespace pathstack::policy {
namespace {

constexpr double kRunGain = 0.1;            // averages over about the last ten answers
constexpr double kLoadGain = 0.3;           // higher than kRunGain because loads are rare
constexpr double kSharedGainFactor = 0.25;  // scales both gains for averages over a class or all functions
constexpr double kMaxSampleRatio = 4;       // limits a sample to this multiple of the average
/// Factor by which the unloaded run time may grow with each answer, because the work of a function changes
/// over time.
constexpr double kUnloadedRunGrowth = 1.002;
constexpr int kMinFunctionRuns = 5;         // with fewer runs the times of the class are used
constexpr double kRunTimeoutMultiple = 6;   // of the usual run time
constexpr double kLoadTimeoutMultiple = 3;  // of the usual load time

void update_minimum(double& minimum, double run) {
  minimum = minimum > 0 ? std::min(minimum * kUnloadedRunGrowth, run) : run;
}

}  // namespace

ServiceTimes::ServiceTimes(const Settings& settings)
    : settings_(settings),
      shortest_objective_(shortest_objective_ms(settings)),
      classes_(settings.classes.size() + 1) {}

double ServiceTimes::run(const FunctionTimes& function) const {
  if (function.run.known()) return function.run.value;
  return classes_[class_slot(function.class_index)].run.value;
}

double ServiceTimes::unloaded_run(const FunctionTimes& function) const {
  if (function.run.samples >= kMinFunctionRuns) return function.unloaded_run;
  const double of_class = class_unloaded_run(function.class_index);
  return of_class > 0 ? of_class : run(function);
}

double ServiceTimes::load(const FunctionTimes& function) const {
  if (function.load.known()) return function.load.value;
  return function.load_hint > 0 ? function.load_hint : all_loads_.value;
}

double ServiceTimes::work(int class_index) const {
  const double work = classes_[class_slot(class_index)].run.value;
  if (work > 0) return work;
  const ClassSettings* settings = class_settings(settings_, class_index);
  const double quarter_objective = settings != nullptr ? settings->latency_objective.count() / 4 : 0;
  return std::max({all_runs_.value, quarter_objective, 1.0});
}

Millis ServiceTimes::run_timeout(double run) const {
  return std::max(kMinStallTime, Millis(run * kRunTimeoutMultiple));
}

Millis ServiceTimes::load_timeout(double load) const {
  // With many invokers the request itself starts the load at the worker. Until a load time is known, it is
  // assumed to be twice the shortest latency objective.
  const bool known = load > 0 || !has_many_invokers(settings_);
  return Millis(kLoadTimeoutMultiple * (known ? load : 2 * shortest_objective_));
}

Millis ServiceTimes::order_timeout(const FunctionTimes& function) const {
  return Millis(kLoadTimeoutMultiple * std::max(load(function), kMinStallTime.count()));
}

void ServiceTimes::record_run(FunctionTimes& function, int class_index, double elapsed) {
  function.run.add(elapsed, kRunGain, kMaxSampleRatio);
  all_runs_.add(elapsed, kRunGain * kSharedGainFactor, kMaxSampleRatio);
  update_minimum(function.unloaded_run, function.run.value);
  if (class_index < 0) return;
  ClassTimes& class_times = classes_[class_slot(class_index)];
  class_times.run.add(elapsed, kRunGain * kSharedGainFactor, kMaxSampleRatio);
  update_minimum(class_times.unloaded_run, class_times.run.value);
}

void ServiceTimes::record_load(FunctionTimes& function, double elapsed) {
  function.load.add(elapsed, kLoadGain, kMaxSampleRatio);
  all_loads_.add(elapsed, kLoadGain * kSharedGainFactor, kMaxSampleRatio);
}

}  // namespace pathstack::policy

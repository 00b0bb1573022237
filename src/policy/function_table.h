// The functions that requests have named: queue, instances at workers, candidates.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "policy/common.h"
#include "policy/service_times.h"

namespace pathstack::policy {

/// Most instances of one function at one worker, by the wire.
inline constexpr int kMaxInstancesPerWorker = 16;

/// What is believed of one function at one worker.
struct Instance {
  WorkerIndex worker = 0;
  int loaded = 0;     // instances that stand loaded
  int loading = 0;    // 1 while an order of this invoker is out
  int in_flight = 0;  // attempts of this invoker
  Millis used_at{kNever};
  Millis load_began_at{kNever};
  bool confirmed = false;  // it has served an attempt or answered an order; else it is assumed by agreement
};

/// Workers of a function in the order in which this invoker uses them; kept by Placement.
struct Candidates {
  std::vector<WorkerIndex> order;
  int replicas = 0;  // the first so many are the same set at all invokers
  int list_version = -1;
};

struct Function {
  std::uint64_t id = 0;
  int slots = 1;  // concurrency slots of one instance
  FunctionTimes times;
  std::deque<std::uint64_t> queue;  // serial numbers of requests
  std::vector<Instance> instances;
  Candidates candidates;
  double arrivals = 0;  // requests of late, decaying since last_seen
  Millis first_seen{kNever};
  Millis last_seen{kNever};
  Millis no_order_before{kNever};
  bool last_attempt_missed = false;  // the last request sent found no instance
  bool failure_counted = false;      // it failed somewhere

  Instance* find_instance(WorkerIndex worker);
  /// Adds an empty one if there is none. Further additions invalidate the reference.
  Instance& instance_at(WorkerIndex worker);
};

/// Owns the functions, in order of first sight (a Function stays at its address until it is pruned).
///
/// Owned by Policy. Beliefs about instances lapse after the keep-alive of the settings; a load order whose
/// answer is lost or late ends by itself, or its function would wait for ever. A function is pruned when
/// nothing of it is queued, loaded or in flight and no request has named it for a while; any name may be
/// requested, so many are dropped sooner. expire, prune and clear_instances are O(functions x instances),
/// the rest is O(1) or O(instances of the function).
class FunctionTable {
 public:
  FunctionTable(const Settings& settings, const ServiceTimes& times) : settings_(settings), times_(times) {}

  /// The function that a request names; its arrival is counted.
  Function& request_arrived(const event::Request& request, int class_index, Millis now);
  Function* find(std::uint64_t id);
  const std::vector<std::unique_ptr<Function>>& all() const { return functions_; }

  bool is_warm(const Instance& instance, Millis now) const;

  void begin_load(Instance& instance, Millis now);
  void end_load(Instance& instance);
  int loads_in_flight() const { return loads_in_flight_; }

  /// Nothing is loaded or loading at the worker any more.
  void clear_instances(WorkerIndex worker);

  void expire(Millis now);
  void prune(Millis now);

 private:
  const Settings& settings_;
  const ServiceTimes& times_;
  std::vector<std::unique_ptr<Function>> functions_;
  std::unordered_map<std::uint64_t, Function*> by_id_;
  int loads_in_flight_ = 0;

  void expire_instances(Function& function, Millis now);
};

}  // namespace pathstack::policy

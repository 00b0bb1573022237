/// The functions that requests have named. For each function: its queue of requests, its known instances at
/// workers and its candidate workers.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "policy/common.h"
#include "policy/service_times.h"

namespace pathstack::policy {

/// Maximum number of instances of one function at one worker, set by the worker protocol.
inline constexpr int kMaxInstancesPerWorker = 16;

/// The known state of one function at one worker, as this invoker last learned or assumed it.
struct Instance {
  WorkerIndex worker = 0;
  int loaded = 0;     // number of loaded instances
  int loading = 0;    // 1 while a load order of this invoker is unanswered
  int in_flight = 0;  // unanswered attempts of this invoker
  Millis used_at{kNever};
  Millis load_began_at{kNever};
  /// The worker has served an attempt or answered a load order; otherwise the instance is only assumed,
  /// because all invokers choose the same replicas.
  bool confirmed = false;
};

/// The workers of a function in the order in which this invoker prefers them; maintained by Placement.
struct Candidates {
  std::vector<WorkerIndex> order;
  int replicas = 0;  // this many workers at the front of `order` are the same set at all invokers
  int list_version = -1;
};

/// A function: its service times, queued requests and instances.
struct Function {
  std::uint64_t id = 0;
  int slots = 1;  // concurrency slots of one instance
  FunctionTimes times;
  std::vector<std::uint64_t> queue;  // serial numbers of queued requests, next first; empty: no memory
  std::vector<Instance> instances;
  Candidates candidates;
  double arrivals = 0;  // recent requests: a count that decays exponentially, as of last_seen
  Millis first_seen{kNever};
  Millis last_seen{kNever};
  Millis no_order_before{kNever};    // no load order is sent before this time
  bool last_attempt_missed = false;  // an attempt was answered `miss`, and no success or load has followed
  bool failure_counted = false;      // a failed attempt has counted against a worker; see OutcomeRecorder

  /// Null if nothing is known of the function at the worker.
  Instance* find_instance(WorkerIndex worker);
  /// The instance record of the worker; adds an empty record if there is none. The reference is valid until
  /// the next record is added.
  Instance& instance_at(WorkerIndex worker);
};

/// Owns the functions, in the order in which they were first requested. A Function keeps its address until it
/// is pruned.
///
/// Owned by Engine. An unused instance counts as unloaded after the keep-alive time of the settings. A load
/// order whose answer is lost or late times out; otherwise its function would wait for the answer forever. A
/// function is pruned when nothing of it is queued, loaded or in flight and no request has named it for a
/// while. Clients may request any function name. So when there are many functions, or their records exceed
/// the memory limit of the settings, those that no worker has served are pruned sooner, then candidate lists
/// that no queued request needs are dropped (Placement recomputes them), and last, unused functions that were
/// served. expire, prune and clear_instances are O(functions x instances), the rest is O(1) or O(instances of
/// the function).
class FunctionTable {
 public:
  FunctionTable(const Settings& settings, const ServiceTimes& times) : settings_(settings), times_(times) {}

  /// The function that the request names, added if it is new. Counts the request as an arrival.
  Function& request_arrived(const event::Request& request, int class_index, Millis now);
  /// Null if no request has named the function, or if it was pruned.
  Function* find(std::uint64_t id);
  const std::vector<std::unique_ptr<Function>>& all() const { return functions_; }

  /// Whether the worker still has the instance loaded: attempts are in flight there, or the instance was used
  /// within the keep-alive time.
  bool is_warm(const Instance& instance, Millis now) const;

  /// A load order was sent for the instance.
  void begin_load(Instance& instance, Millis now);
  /// The load order was answered or timed out; does nothing if no order is unanswered.
  void end_load(Instance& instance);
  /// Number of unanswered load orders.
  int loads_in_flight() const { return loads_in_flight_; }

  /// Marks all functions as neither loaded nor loading at the worker.
  void clear_instances(WorkerIndex worker);

  /// Ends instances past their keep-alive time and load orders past their timeout.
  void expire(Millis now);
  /// Removes functions that are not in use; see the class comment.
  void prune(Millis now);

  /// Records that the function is about to get a candidate list of `workers` entries.
  void expect_candidates(const Function& function, std::size_t workers) {
    if (function.candidates.order.empty()) bytes_ += workers * sizeof(WorkerIndex);
  }
  /// Estimated memory of all records with their candidate lists, in bytes. Exact at each `prune`, an upper
  /// bound in between.
  std::size_t bytes() const { return bytes_; }
  /// Estimated memory in bytes that a request of the function adds, if a candidate list has `workers`
  /// entries.
  std::size_t bytes_to_add(std::uint64_t id, std::size_t workers) const;

 private:
  const Settings& settings_;
  const ServiceTimes& times_;
  std::vector<std::unique_ptr<Function>> functions_;
  std::unordered_map<std::uint64_t, Function*> by_id_;
  int loads_in_flight_ = 0;
  std::size_t bytes_ = 0;  // see `bytes`

  void expire_instances(Function& function, Millis now);
  void remove_unused(Millis now, Millis served_retention, Millis unserved_retention);
  void drop_idle_candidates();
  void update_bytes();
  bool exceeds_memory() const { return bytes_ > settings_.max_function_bytes; }
  bool exceeds_limits() const;
};

}  // namespace pathstack::policy

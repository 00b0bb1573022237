/// Table of the workers named by endpoint lists, with the number of attempts in flight at each.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/common.h"

namespace pathstack::policy {

/// One worker as the endpoint lists describe it. `started` is the list's stamp of the process start, of a
/// wall clock; `started_at` is on the local clock.
struct Worker : WorkerEntry {
  WorkerIndex index = 0;
  std::uint64_t hash = 0;          // of the worker's id
  int listed_in = 0;               // version of the last list that named the worker
  Millis last_present_at{kNever};  // the last list after which the state was not `gone`

  /// Start of the warm-up; kNever: no start time is known.
  Millis started_at{kNever};

  /// When anything was last received from the worker, or an attempt was sent to it while none was in flight.
  Millis last_activity_at{kNever};
  int in_flight = 0;
  int unconfirmed_in_flight = 0;  // part of in_flight: to instances not known to be loaded
};

/// A change of a worker by a list, for the parts that hold state per worker.
struct WorkerChange {
  enum class Kind {
    added,      // a new worker has this index; state held under the index is void
    restarted,  // same id, new process: no instance is loaded and the worker warms up
    left,       // draining or gone: no new work may be sent to the worker
  };
  WorkerIndex worker = 0;
  Kind kind = Kind::added;
};

/// Applies endpoint lists and watch events.
///
/// Owned by Engine, which passes the changes to the other parts. Any change of a nonzero start stamp counts
/// as a restart, also to an earlier time, since stamps come from wall clocks that may be stepped. A worker
/// gone for kPruneAfter is pruned; ids are not used again. apply and prune are O(workers), the rest is O(1).
class WorkerTable {
 public:
  explicit WorkerTable(const Settings& settings) : settings_(settings) {}

  /// Applies a list whose kind is not `failed`. Unless it is a delta, workers that it does not name become
  /// gone.
  std::vector<WorkerChange> apply(const event::WorkerList& list, Millis now);

  /// Frees and returns the indices of workers that are gone for kPruneAfter and have nothing in flight.
  std::vector<WorkerIndex> prune(Millis now);

  const Worker* find(const std::string& id) const;
  /// The worker that gossip refers to by `tag`.
  std::optional<WorkerIndex> find_by_tag(const std::string& tag) const;

  const Worker& operator[](WorkerIndex index) const { return workers_[index]; }
  /// All entries, including workers that are gone and free entries (state gone, id empty).
  const std::vector<Worker>& all() const { return workers_; }
  int list_version() const { return list_version_; }
  /// Number of workers that are ready according to the list.
  int ready_count() const { return ready_count_; }
  bool is_ready(WorkerIndex index) const { return workers_[index].state == WorkerState::ready; }

  /// `confirmed`: the instance was known to be loaded. Each start must be followed by one end with the same
  /// `confirmed`.
  void attempt_started(WorkerIndex index, bool confirmed, Millis now);
  void attempt_ended(WorkerIndex index, bool confirmed);
  void record_activity(WorkerIndex index, Millis now) { workers_[index].last_activity_at = now; }

 private:
  const Settings& settings_;
  std::vector<Worker> workers_;
  std::unordered_map<std::string, WorkerIndex> by_id_;
  std::unordered_map<std::string, WorkerIndex> by_tag_;
  std::vector<WorkerIndex> free_indices_;  // of pruned workers, for reuse
  int list_version_ = 0;
  int ready_count_ = 0;
  Millis first_list_at_{kNever};

  WorkerIndex find_or_add(const std::string& id);
  void apply_entry(WorkerIndex index, const WorkerEntry& entry, Millis now,
                   std::vector<WorkerChange>& changes);
  Millis start_time(Millis stamp, Millis now) const;
};

}  // namespace pathstack::policy

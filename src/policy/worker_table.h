// The workers that the endpoint lists have named, and what is in flight at each.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/common.h"

namespace pathstack::policy {

/// One worker as the lists tell of it. `started` is the stamp that came with it; `started_at` is by the local
/// clock.
struct Worker : WorkerEntry {
  WorkerIndex index = 0;
  std::uint64_t hash = 0;          // of its id
  int listed_in = 0;               // version of the last list that named it
  Millis last_present_at{kNever};  // when it was last known not to be gone

  /// From here the warm-up counts; kNever: it did not start late.
  Millis started_at{kNever};

  /// When anything was last received from it, or an attempt was sent to it while none was in flight.
  Millis last_activity_at{kNever};
  int in_flight = 0;
  int unconfirmed_in_flight = 0;  // of these, sent to instances not known to be loaded
};

/// What a list changed at a worker, for the parts that keep something of it.
struct WorkerChange {
  enum class Kind {
    added,      // a new worker at this index: nothing is known of it
    restarted,  // same id, another process: empty and warming up
    left,       // it drains or is gone: nothing new may be sent there
  };
  WorkerIndex worker = 0;
  Kind kind = Kind::added;
};

/// Endpoint list and watch events.
///
/// Owned by Policy, which passes the changes on. A change of a nonzero start stamp is a restart, whichever
/// way it changed: stamps are of wall clocks that may be stepped. A worker gone for kPruneAfter is pruned;
/// ids never come back. apply and prune are O(workers), the rest is O(1).
class WorkerTable {
 public:
  explicit WorkerTable(const Settings& settings) : settings_(settings) {}

  /// Takes a list that did not fail. Workers that a full list does not name are gone.
  std::vector<WorkerChange> apply(const event::WorkerList& list, Millis now);

  /// Frees the places of workers long gone, with nothing in flight; returns them.
  std::vector<WorkerIndex> prune(Millis now);

  const Worker* find(const std::string& id) const;
  /// The worker that gossip names by `tag`.
  std::optional<WorkerIndex> find_by_tag(const std::string& tag) const;

  const Worker& operator[](WorkerIndex index) const { return workers_[index]; }
  /// All places, also those of workers that are gone and free ones (state gone, id empty).
  const std::vector<Worker>& all() const { return workers_; }
  int list_version() const { return list_version_; }
  /// Workers that are ready by the list.
  int ready_count() const { return ready_count_; }
  bool is_ready(WorkerIndex index) const { return workers_[index].state == WorkerState::ready; }

  /// `confirmed`: the instance was known to be loaded there. Each start is followed by one end.
  void attempt_started(WorkerIndex index, bool confirmed, Millis now);
  void attempt_ended(WorkerIndex index, bool confirmed);
  void record_activity(WorkerIndex index, Millis now) { workers_[index].last_activity_at = now; }

 private:
  const Settings& settings_;
  std::vector<Worker> workers_;
  std::unordered_map<std::string, WorkerIndex> by_id_;
  std::unordered_map<std::string, WorkerIndex> by_tag_;
  std::vector<WorkerIndex> free_indices_;  // places of pruned workers, to be used again
  int list_version_ = 0;
  int ready_count_ = 0;
  Millis first_list_at_{kNever};

  WorkerIndex find_or_add(const std::string& id);
  void apply_entry(WorkerIndex index, const WorkerEntry& entry, Millis now,
                   std::vector<WorkerChange>& changes);
  Millis start_time(Millis stamp, Millis now) const;
};

}  // namespace pathstack::policy

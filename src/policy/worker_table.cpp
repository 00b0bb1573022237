#include "policy/worker_table.h"

#include <algorithm>

#include "policy/gossip.h"
#include "policy/hash.h"

namespace pathstack::policy {
namespace {

constexpr Millis kInitialListWindow{250};  // lists this soon after the first report starts of earlier times
constexpr Millis kPruneAfter{60000};       // how long a worker has been gone

}  // namespace

std::vector<WorkerChange> WorkerTable::apply(const event::WorkerList& list, Millis now) {
  std::vector<WorkerChange> changes;
  if (list_version_++ == 0) first_list_at_ = now;
  for (const WorkerEntry& entry : list.entries) apply_entry(find_or_add(entry.worker), entry, now, changes);
  for (Worker& worker : workers_) {
    const bool missing = list.kind != ListKind::delta && worker.listed_in != list_version_;
    if (missing && worker.state != WorkerState::gone) {
      changes.push_back({worker.index, WorkerChange::Kind::left});
      worker.state = WorkerState::gone;
    }
    if (worker.state != WorkerState::gone) worker.last_present_at = now;
  }
  ready_count_ = static_cast<int>(std::count_if(workers_.begin(), workers_.end(), [](const Worker& worker) {
    return worker.state == WorkerState::ready;
  }));
  return changes;
}

WorkerIndex WorkerTable::find_or_add(const std::string& id) {
  const bool reused = !free_indices_.empty();
  const WorkerIndex next = reused ? free_indices_.back() : static_cast<WorkerIndex>(workers_.size());
  const auto [place, added] = by_id_.try_emplace(id, next);
  if (added && reused) free_indices_.pop_back();
  if (added && !reused) workers_.emplace_back();
  return place->second;
}

void WorkerTable::apply_entry(WorkerIndex index, const WorkerEntry& entry, Millis now,
                              std::vector<WorkerChange>& changes) {
  Worker& worker = workers_[index];
  const bool added = worker.worker.empty();
  // Zero means no stamp: entries of draining and gone workers may lack one.
  const bool stamped = entry.started.count() != 0 && (added || entry.started != worker.started);
  const Millis stamp = stamped ? entry.started : worker.started;
  if (stamped) worker.started_at = start_time(entry.started, now);
  if (added) changes.push_back({index, WorkerChange::Kind::added});
  if (!added && stamped) changes.push_back({index, WorkerChange::Kind::restarted});
  if (entry.state != WorkerState::ready) changes.push_back({index, WorkerChange::Kind::left});
  static_cast<WorkerEntry&>(worker) = entry;
  worker.started = stamp;
  worker.index = index;
  worker.listed_in = list_version_;
  worker.hash = hash_of(entry.worker);
  by_tag_[worker_tag(worker.hash)] = index;
  if (!(worker.weight > 0)) worker.weight = 1;
}

Millis WorkerTable::start_time(Millis stamp, Millis now) const {
  // A start reported by a later list happened between the previous list and now, whatever its stamp. It is
  // taken as now, the latest possible time, so that a worker is never assumed to be warmer than it is. For
  // starts in the first lists (known when the invoker starts, or sent to it at once) only the stamp is
  // available; a stamp ahead of the local clock is taken as now.
  if (now - first_list_at_ > kInitialListWindow) return now;
  return std::min(stamp, now);
}

std::vector<WorkerIndex> WorkerTable::prune(Millis now) {
  std::vector<WorkerIndex> pruned;
  for (Worker& worker : workers_) {
    if (worker.worker.empty() || worker.state != WorkerState::gone) continue;
    if (worker.in_flight > 0 || now < worker.last_present_at + kPruneAfter) continue;
    const auto tag = by_tag_.find(worker_tag(worker.hash));
    if (tag != by_tag_.end() && tag->second == worker.index) by_tag_.erase(tag);
    by_id_.erase(worker.worker);
    const WorkerIndex index = worker.index;
    worker = Worker();
    worker.index = index;
    worker.state = WorkerState::gone;
    free_indices_.push_back(index);
    pruned.push_back(index);
  }
  return pruned;
}

const Worker* WorkerTable::find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &workers_[found->second];
}

std::optional<WorkerIndex> WorkerTable::find_by_tag(const std::string& tag) const {
  const auto found = by_tag_.find(tag);
  if (found == by_tag_.end()) return std::nullopt;
  return found->second;
}

void WorkerTable::attempt_started(WorkerIndex index, bool confirmed, Millis now) {
  Worker& worker = workers_[index];
  if (worker.in_flight == 0) worker.last_activity_at = now;
  ++worker.in_flight;
  if (has_many_invokers(settings_) && !confirmed) ++worker.unconfirmed_in_flight;
}

void WorkerTable::attempt_ended(WorkerIndex index, bool confirmed) {
  Worker& worker = workers_[index];
  worker.in_flight = std::max(0, worker.in_flight - 1);
  if (has_many_invokers(settings_) && !confirmed) --worker.unconfirmed_in_flight;
}

}  // namespace pathstack::policy

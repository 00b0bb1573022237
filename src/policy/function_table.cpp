#include "policy/function_table.h"

#include <algorithm>

namespace pathstack::policy {
namespace {

constexpr Millis kIdleRetention{60000};      // a function is pruned this long after its last request
constexpr Millis kUnservedRetention{5000};   // the same for a function that no worker has served
constexpr std::size_t kMaxFunctions = 4096;  // above this number, functions are pruned once unused
constexpr std::size_t kFunctionBytes = 400;  // estimated size of a record with its entries in both tables
constexpr int kMaxSlots = 1024;              // bounds the concurrency that a request may state

}  // namespace

Instance* Function::find_instance(WorkerIndex worker) {
  for (Instance& instance : instances) {
    if (instance.worker == worker) return &instance;
  }
  return nullptr;
}

Instance& Function::instance_at(WorkerIndex worker) {
  if (Instance* known = find_instance(worker)) return *known;
  instances.emplace_back();
  instances.back().worker = worker;
  return instances.back();
}

Function& FunctionTable::request_arrived(const event::Request& request, int class_index, Millis now) {
  const auto [entry, added] = by_id_.try_emplace(request.function, nullptr);
  if (added) {
    functions_.push_back(std::make_unique<Function>());
    entry->second = functions_.back().get();
    entry->second->id = request.function;
    entry->second->first_seen = now;
    bytes_ += kFunctionBytes;
  }
  Function& function = *entry->second;
  function.times.class_index = class_index;
  function.slots = std::min(std::max(request.concurrency, 1), kMaxSlots);
  if (request.load_hint) function.times.load_hint = std::max(request.load_hint->count(), 0.0);
  function.arrivals = 1 + function.arrivals * decay(now, function.last_seen, kDemandTimeConstant);
  function.last_seen = now;
  return function;
}

Function* FunctionTable::find(std::uint64_t id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

bool FunctionTable::is_warm(const Instance& instance, Millis now) const {
  if (instance.loaded <= 0) return false;
  if (instance.in_flight > 0 || settings_.keep_alive.count() <= 0) return true;
  return now - instance.used_at <= settings_.keep_alive;
}

void FunctionTable::begin_load(Instance& instance, Millis now) {
  ++loads_in_flight_;
  instance.loading = 1;
  instance.load_began_at = now;
  instance.used_at = now;
}

void FunctionTable::end_load(Instance& instance) {
  loads_in_flight_ -= instance.loading;
  instance.loading = 0;
}

void FunctionTable::clear_instances(WorkerIndex worker) {
  for (const auto& function : functions_) {
    Instance* instance = function->find_instance(worker);
    if (instance == nullptr) continue;
    instance->loaded = 0;
    end_load(*instance);
  }
}

void FunctionTable::expire(Millis now) {
  for (const auto& function : functions_) expire_instances(*function, now);
}

void FunctionTable::expire_instances(Function& function, Millis now) {
  std::vector<Instance>& instances = function.instances;
  for (Instance& instance : instances) {
    if (instance.in_flight > 0) instance.used_at = now;
    if (!is_warm(instance, now)) instance.loaded = 0;
    instance.confirmed = instance.confirmed && instance.loaded > 0;
    if (instance.loading == 0) continue;
    if (now - instance.load_began_at > times_.order_timeout(function.times)) end_load(instance);
  }
  const auto is_empty = [](const Instance& i) { return i.loaded + i.loading + i.in_flight == 0; };
  instances.erase(std::remove_if(instances.begin(), instances.end(), is_empty), instances.end());
}

void FunctionTable::prune(Millis now) {
  remove_unused(now, kIdleRetention, kUnservedRetention);
  if (exceeds_limits()) remove_unused(now, kIdleRetention, kSweepInterval);
  if (exceeds_memory()) drop_idle_candidates();
  if (exceeds_limits()) remove_unused(now, kSweepInterval, kSweepInterval);
}

void FunctionTable::remove_unused(Millis now, Millis served_retention, Millis unserved_retention) {
  const auto is_stale = [&](const std::unique_ptr<Function>& function) {
    const Millis retention = function->times.run.known() ? served_retention : unserved_retention;
    const bool in_use = !function->queue.empty() || !function->instances.empty();
    if (in_use || now - function->last_seen <= retention) return false;
    by_id_.erase(function->id);
    return true;
  };
  functions_.erase(std::remove_if(functions_.begin(), functions_.end(), is_stale), functions_.end());
  update_bytes();
}

void FunctionTable::drop_idle_candidates() {
  for (const auto& function : functions_) {
    if (function->queue.empty()) function->candidates = Candidates();
  }
  update_bytes();
}

void FunctionTable::update_bytes() {
  bytes_ = functions_.size() * kFunctionBytes;
  for (const auto& function : functions_) {
    bytes_ += function->candidates.order.capacity() * sizeof(WorkerIndex) +
              function->instances.capacity() * sizeof(Instance);
  }
}

bool FunctionTable::exceeds_limits() const { return functions_.size() > kMaxFunctions || exceeds_memory(); }

std::size_t FunctionTable::bytes_to_add(std::uint64_t id, std::size_t workers) const {
  const std::size_t list_bytes = workers * sizeof(WorkerIndex);
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return kFunctionBytes + list_bytes;
  return found->second->candidates.order.empty() ? list_bytes : 0;
}

}  // namespace pathstack::policy

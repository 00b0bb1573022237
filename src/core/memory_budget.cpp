#include "core/memory_budget.h"

#include <malloc.h>

#include <string_view>
#include <utility>

namespace pathstack::core {
namespace {

constexpr std::size_t kAnswerParts = 8;  // one part of the limit in so many is left to answers
// The guaranteed shares of all clients together, as a fraction of the limit for work. The fraction is under a
// half, as what calls leave behind (history, functions) also grows while the shares are used.
constexpr double kGuaranteedFraction = 0.375;
constexpr std::size_t kClientParts = 4;  // a client may hold one part in so many of what is free, a host too
constexpr double kBytesPerKb = 1024;

constexpr std::array<std::string_view, kMemoryOwnerCount> kOwnerNames = {
    "broker",       "call_history", "calls",      "clients", "functions",
    "host_answers", "hosts",        "membership", "output"};

// The owners may hold more than the limit, as not all of them ask.
std::size_t free_bytes(std::size_t limit, std::size_t used) { return used < limit ? limit - used : 0; }

double heap_bytes() {
  const struct mallinfo2 heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);
}

}  // namespace

MemoryBudget::MemoryBudget(std::size_t limit, std::size_t max_clients)
    : limit_(limit),
      work_limit_(limit - limit / kAnswerParts),
      guaranteed_share_(static_cast<std::size_t>(static_cast<double>(work_limit_) * kGuaranteedFraction) /
                        max_clients) {}

void MemoryBudget::track(MemoryOwner owner, Gauge gauge) {
  gauges_.at(static_cast<std::size_t>(owner)) = std::move(gauge);
}

bool MemoryBudget::admits_work(std::size_t held, std::size_t size, std::size_t shared) const {
  const std::size_t used_then = used() + shared;
  const std::size_t wanted = held + size;
  if (wanted <= guaranteed_share_) return size <= free_bytes(work_limit_, used_then);
  return wanted <= free_bytes(work_limit_ / 2, used_then) / kClientParts;
}

bool MemoryBudget::admits_answer(std::size_t held, std::size_t size) const {
  return held + size <= free_bytes(limit_, used()) / kClientParts;
}

std::size_t MemoryBudget::used() const {
  std::size_t sum = 0;
  for (std::size_t i = 0; i < kMemoryOwnerCount; ++i) {
    if (i != static_cast<std::size_t>(MemoryOwner::output)) sum += held_by(i);
  }
  return sum;
}

std::size_t MemoryBudget::held_by(std::size_t owner) const {
  const Gauge& gauge = gauges_.at(owner);
  return gauge ? gauge() : 0;
}

std::map<std::string, double> MemoryBudget::statistics() const {
  std::map<std::string, double> values;
  for (std::size_t i = 0; i < kMemoryOwnerCount; ++i) {
    const auto bytes = static_cast<double>(held_by(i));
    values["now.memory." + std::string(kOwnerNames.at(i)) + "_kb"] = bytes / kBytesPerKb;
  }
  values["now.memory.heap_kb"] = heap_bytes() / kBytesPerKb;
  return values;
}

}  // namespace pathstack::core

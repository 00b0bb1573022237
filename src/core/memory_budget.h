/// The limit on the memory that the peers of the program can make it use.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace pathstack::core {

/// What holds memory on behalf of peers.
enum class MemoryOwner : std::size_t {
  broker,        // bodies of open calls from the broker, answers kept for redelivered calls
  call_history,  // deadlines and references of calls that may have ended
  calls,         // open calls of clients, in all parts of the program
  clients,       // connections of clients, requests received in part
  functions,     // what the decision module knows of functions
  host_answers,  // answers received in part, attempts that wait for a connection to their host
  hosts,         // hosts of the list, connections to them
  membership,    // the line of the membership log received in part
  output,        // bytes not written yet, to any peer; bounded by `net::BufferPool`, not part of the sum
};

/// The number of owners.
constexpr std::size_t kMemoryOwnerCount = static_cast<std::size_t>(MemoryOwner::output) + 1;

/// Bounds the sum of what all owners but `output` hold, in bytes.
///
/// Owners report what they hold, mostly as estimates: numbers of objects times their usual size. Whoever is
/// about to hold more asks first whether it fits, and refuses the peer's work if it does not.
///
/// Each client has a small guaranteed share. Beyond it, a client may hold only a fraction of what is free in
/// the first half of the limit (dynamic thresholds, Choudhury and Hahne, IEEE/ACM Transactions on Networking
/// 6(2), 1998). So clients that send without limit leave memory for those that hold little. New work may not
/// use the last eighth, which is left to the answers to work that was accepted earlier.
///
/// Used on the thread of the event loop only. A query costs one call of each gauge.
class MemoryBudget {
 public:
  /// Returns the bytes that an owner holds now. Must take constant time.
  using Gauge = std::function<std::size_t()>;

  /// `limit` is in bytes; `max_clients` is the number of clients that have a guaranteed share, above 0.
  MemoryBudget(std::size_t limit, std::size_t max_clients);

  /// Sets the gauge of `owner`, in place of an earlier one. An owner without a gauge holds nothing.
  void track(MemoryOwner owner, Gauge gauge);

  /// True if new work of `size` bytes may be accepted from a client that holds `held` bytes. The work adds
  /// `shared` bytes, which no client holds, to what other owners hold.
  bool admits_work(std::size_t held, std::size_t size, std::size_t shared = 0) const;
  /// True if `size` more bytes of an answer may be received from a host that holds `held` bytes.
  bool admits_answer(std::size_t held, std::size_t size) const;

  /// The sum of what all owners but `output` hold.
  std::size_t used() const;
  std::size_t limit() const { return limit_; }
  /// What each owner holds, in KB, and the memory that the program has allocated in all, as present values
  /// for the status line: `now.memory.OWNER_kb` and `now.memory.heap_kb`. Cost: linear in the free blocks of
  /// the allocator.
  std::map<std::string, double> statistics() const;

 private:
  std::size_t limit_;
  std::size_t work_limit_;        // for new work
  std::size_t guaranteed_share_;  // of each client
  std::array<Gauge, kMemoryOwnerCount> gauges_;

  std::size_t held_by(std::size_t owner) const;
};

}  // namespace pathstack::core

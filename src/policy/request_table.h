/// Stores the open requests and the states of their attempts.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/common.h"
#include "policy/function_table.h"

namespace pathstack::policy {

/// State of an attempt: in flight until its outcome arrives; the other states are final.
enum class AttemptState {
  in_flight,
  not_sent,      // a local fault prevented the send
  never_ran,     // its outcome guarantees that the worker did not run it
  may_have_run,  // its outcome does not guarantee that
};

/// One attempt to run a request at a worker.
struct Attempt {
  WorkerIndex worker = 0;
  Millis sent_at{0};
  AttemptState state = AttemptState::in_flight;
  bool confirmed = false;       // when it was sent, the instance was known to be loaded
  bool only_in_flight = false;  // when it was sent, the instance had no other attempt in flight
  bool presumed_lost = false;   // unanswered for so long that it was counted as a failure
  double warm_up_cost = 0;      // charged to the budget of a worker that is warming up
};

/// One request of a client. It exists from its arrival until its final answer, and until its last attempt has
/// ended if that is later.
struct Request {
  std::string id;
  std::uint64_t serial = 0;
  int class_index = -1;
  Function* function = nullptr;
  Millis arrived_at{0};
  Millis deadline{0};
  Millis objective_at{0};                    // an answer after this is late
  bool done = false;                         // final answer given, or abandoned by its client
  bool streaming = false;                    // a streamed answer has started
  std::vector<Attempt> attempts;             // by attempt number; at most the last is in flight
  int attempts_not_sent = 0;                 // attempts in state not_sent
  std::vector<WorkerIndex> avoided_workers;  // workers whose answers show that a retry there is useless
  Millis not_before{kNever};                 // end of the backoff after local faults

  /// Makes later attempts prefer other workers; see RetryPolicy::allows_worker.
  void avoid(WorkerIndex worker) {
    if (!avoids(worker)) avoided_workers.push_back(worker);
  }
  bool avoids(WorkerIndex worker) const {
    return std::find(avoided_workers.begin(), avoided_workers.end(), worker) != avoided_workers.end();
  }
  bool has_attempt_in_flight() const {
    return !attempts.empty() && attempts.back().state == AttemptState::in_flight;
  }
  /// Number of attempts that count against max_attempts of the settings.
  int attempts_sent() const { return static_cast<int>(attempts.size()) - attempts_not_sent; }
};

enum class QueueEnd { front, back };

/// Owns all open requests and maintains their positions in the queues of their functions.
///
/// Owned by Engine. Serial numbers increase with each arrival and are the tokens of the deadline timers. The
/// address of a request is stable until the request is destroyed. A lookup by serial number is O(log
/// requests), a lookup by id adds one hash lookup, and queue operations are O(queue of the function).
class RequestTable {
 public:
  /// Adds a request; `id` must not belong to an open one.
  Request& create(const std::string& id, int class_index, Function& function);
  bool contains(const std::string& id) const { return by_id_.count(id) != 0; }
  /// The open request with this id or serial number; null if there is none.
  Request* find(const std::string& id);
  Request* find(std::uint64_t serial);
  /// The open request with this serial number, which must exist.
  Request& at(std::uint64_t serial) { return requests_.at(serial); }
  /// All open requests in order of arrival, by serial number.
  std::map<std::uint64_t, Request>& all() { return requests_; }

  /// Number of requests in the queues of all functions.
  std::size_t queued() const { return queued_; }
  void enqueue(const Request& request, QueueEnd end);
  /// Removes the request from the queue of its function; no effect if it is not queued.
  void dequeue(const Request& request);

  /// Adds an attempt in flight.
  Attempt& start_attempt(Request& request, WorkerIndex worker, Millis now);
  /// Moves the attempt with this number to the state that the outcome implies and returns it; null if no such
  /// attempt is in flight.
  Attempt* end_attempt(Request& request, int number, Outcome outcome);

  /// Marks the request as done and destroys it, unless an attempt is in flight; then the caller calls finish
  /// again when that attempt has ended.
  void finish(Request& request);

 private:
  std::map<std::uint64_t, Request> requests_;  // by serial number
  std::unordered_map<std::string, std::uint64_t> by_id_;
  std::uint64_t next_serial_ = 1;
  std::size_t queued_ = 0;
};

}  // namespace pathstack::policy

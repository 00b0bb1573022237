// Requests and their attempts as state machines.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/common.h"
#include "policy/function_table.h"

namespace pathstack::policy {

/// An attempt is out until its outcome comes; the other states are final.
enum class AttemptState {
  in_flight,
  not_sent,      // a fault of this machine kept it from leaving
  never_ran,     // its outcome proves that the worker did not run it
  may_have_run,  // nothing proves that
};

struct Attempt {
  WorkerIndex worker = 0;
  Millis sent_at{0};
  AttemptState state = AttemptState::in_flight;
  bool confirmed = false;       // as sent: the instance was known to be loaded
  bool only_in_flight = false;  // as sent: nothing else of the function was in flight there
  bool presumed_lost = false;   // out for so long that it counted as a failure
  double warm_up_cost = 0;      // taken from the budget of a worker that is warming up
};

/// A request lives from its arrival until its final answer, and beyond it while an attempt is out.
struct Request {
  std::string id;
  std::uint64_t serial = 0;
  int class_index = -1;
  Function* function = nullptr;
  Millis arrived_at{0};
  Millis deadline{0};
  Millis objective_at{0};                    // an answer after this is late
  bool done = false;                         // it has its final answer, or its client left
  bool streaming = false;                    // an answer has begun
  std::vector<Attempt> attempts;             // one is out at a time; numbers are those of the invoker
  int attempts_not_sent = 0;                 // of the attempts
  std::vector<WorkerIndex> avoided_workers;  // workers whose answers say that another attempt there is no use
  Millis not_before{kNever};                 // faults of this machine let it go again no sooner

  void avoid(WorkerIndex worker) {
    if (!avoids(worker)) avoided_workers.push_back(worker);
  }
  bool avoids(WorkerIndex worker) const {
    return std::find(avoided_workers.begin(), avoided_workers.end(), worker) != avoided_workers.end();
  }
  bool has_attempt_in_flight() const {
    return !attempts.empty() && attempts.back().state == AttemptState::in_flight;
  }
  /// Attempts that count against the limit of the settings.
  int attempts_sent() const { return static_cast<int>(attempts.size()) - attempts_not_sent; }
};

enum class QueueEnd { front, back };

/// Owns all open requests, and their places in the queues of their functions.
///
/// Owned by Policy. Serial numbers rise with each arrival and are the tokens of the deadline timers. A
/// request stays at its address until it is finished. Look-ups are O(1) by id and O(log requests) by serial;
/// queue operations are O(queue of the function).
class RequestTable {
 public:
  /// `id` must not be open.
  Request& create(const std::string& id, int class_index, Function& function);
  bool contains(const std::string& id) const { return by_id_.count(id) != 0; }
  Request* find(const std::string& id);
  Request* find(std::uint64_t serial);
  Request& at(std::uint64_t serial) { return requests_.at(serial); }
  /// In order of arrival.
  std::map<std::uint64_t, Request>& all() { return requests_; }

  /// Requests in the queues of all functions.
  std::size_t queued() const { return queued_; }
  void enqueue(const Request& request, QueueEnd end);
  void dequeue(const Request& request);

  Attempt& start_attempt(Request& request, WorkerIndex worker, Millis now);
  /// The attempt of this number if it is out: it moves to the state that the outcome implies. Else null.
  Attempt* end_attempt(Request& request, int number, Outcome outcome);

  /// The request has its final answer. It is destroyed unless an attempt is out; then with that attempt's
  /// outcome.
  void finish(Request& request);

 private:
  std::map<std::uint64_t, Request> requests_;  // by serial number
  std::unordered_map<std::string, std::uint64_t> by_id_;
  std::uint64_t next_serial_ = 1;
  std::size_t queued_ = 0;
};

}  // namespace pathstack::policy

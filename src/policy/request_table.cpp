#include "policy/request_table.h"

#include <algorithm>

namespace pathstack::policy {
namespace {

AttemptState state_after(Outcome outcome) {
  if (outcome == Outcome::not_sent) return AttemptState::not_sent;
  return proves_never_ran(outcome) ? AttemptState::never_ran : AttemptState::may_have_run;
}

}  // namespace

Request& RequestTable::create(const std::string& id, int class_index, Function& function) {
  const std::uint64_t serial = next_serial_++;
  Request& request = requests_[serial];
  request.id = id;
  request.serial = serial;
  request.class_index = class_index;
  request.function = &function;
  by_id_[id] = serial;
  return request;
}

Request* RequestTable::find(const std::string& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &requests_.at(found->second);
}

Request* RequestTable::find(std::uint64_t serial) {
  const auto found = requests_.find(serial);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::enqueue(const Request& request, QueueEnd end) {
  auto& queue = request.function->queue;
  queue.insert(end == QueueEnd::front ? queue.begin() : queue.end(), request.serial);
  ++queued_;
}

void RequestTable::dequeue(const Request& request) {
  auto& queue = request.function->queue;
  const auto found = std::find(queue.begin(), queue.end(), request.serial);
  if (found == queue.end()) return;
  queue.erase(found);
  --queued_;
}

Attempt& RequestTable::start_attempt(Request& request, WorkerIndex worker, Millis now) {
  request.attempts.emplace_back();
  Attempt& attempt = request.attempts.back();
  attempt.worker = worker;
  attempt.sent_at = now;
  return attempt;
}

Attempt* RequestTable::end_attempt(Request& request, int number, Outcome outcome) {
  if (number < 0 || number >= static_cast<int>(request.attempts.size())) return nullptr;
  Attempt& attempt = request.attempts[static_cast<std::size_t>(number)];
  if (attempt.state != AttemptState::in_flight) return nullptr;
  attempt.state = state_after(outcome);
  if (attempt.state == AttemptState::not_sent) ++request.attempts_not_sent;
  return &attempt;
}

void RequestTable::finish(Request& request) {
  dequeue(request);
  request.done = true;
  if (request.has_attempt_in_flight()) return;
  by_id_.erase(request.id);
  requests_.erase(request.serial);
}

}  // namespace pathstack::policy

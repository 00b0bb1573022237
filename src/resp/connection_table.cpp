#include "resp/connection_table.h"

#include <poll.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace pathstack::resp {
namespace {

bool has_no_output(const std::shared_ptr<Connection>& connection) { return connection->outbox().empty(); }
bool has_partial_request(const std::shared_ptr<Connection>& connection) {
  return connection->has_partial_request();
}
bool is_idle(const std::shared_ptr<Connection>& connection) { return connection->is_idle(); }

}  // namespace

void ConnectionTable::add_pending(std::shared_ptr<Connection> connection) {
  pending_.push_back(std::move(connection));
  pending_.back()->position_ = std::prev(pending_.end());
  pending_.back()->list_ = &pending_;
  if (pending_.size() <= limits_.max_pending) return;
  const std::shared_ptr<Connection> oldest = pending_.front();
  oldest->ready(POLLIN);
  if (oldest->has_sent_request() || oldest->ending()) return;
  evict(*oldest, core::Counter::resp_silent_closed);
}

bool ConnectionTable::activate(Connection& connection) {
  const bool is_active = connection.list_ == &active_;
  if (!is_active && active_.size() >= limits_.max_active) end_closed();
  const bool has_capacity = is_active || active_.size() < limits_.max_active || evict_idle();
  move_to_back(has_capacity ? active_ : refused_, connection);
  return has_capacity;
}

// Ends active connections whose clients have closed them. Their input may be due later in this turn, and
// until then they would take the places of others.
void ConnectionTable::end_closed() {
  const core::Millis turn = clock_();
  if (std::exchange(closed_ended_at_, turn) == turn) return;
  const std::vector<std::shared_ptr<Connection>> open(active_.begin(), active_.end());
  for (const auto& connection : open) {
    if (connection->closed_by_peer()) connection->ready(POLLIN | POLLRDHUP);
  }
}

// Returns false if no active connection is idle.
bool ConnectionTable::evict_idle() {
  const auto found = std::find_if(active_.begin(), active_.end(), is_idle);
  if (found == active_.end()) return false;
  const std::shared_ptr<Connection> idle = *found;
  evict(*idle, core::Counter::resp_idle_closed);
  return true;
}

void ConnectionTable::begin_closing(Connection& connection) {
  move_to_back(closing_, connection);
  if (closing_.size() <= std::max<std::size_t>(limits_.max_closing, 1)) return;
  counters_.add(core::Counter::resp_linger_cut);
  const std::shared_ptr<Connection> oldest = closing_.front();
  oldest->flush_now();  // its last answers may have been queued in this turn
  oldest->end_later();
  oldest->flush();
}

std::shared_ptr<Connection> ConnectionTable::remove(Connection& connection) {
  std::shared_ptr<Connection> removed = *connection.position_;
  connection.list_->erase(connection.position_);
  return removed;
}

void ConnectionTable::reject_all_input() {
  std::vector<std::shared_ptr<Connection>> open(active_.begin(), active_.end());
  open.insert(open.end(), pending_.begin(), pending_.end());
  for (const auto& connection : open) connection->reject_input();
}

bool ConnectionTable::all_written() const {
  return std::all_of(active_.begin(), active_.end(), has_no_output) &&
         std::all_of(closing_.begin(), closing_.end(), has_no_output);
}

bool ConnectionTable::any_partial_request() const {
  return std::any_of(active_.begin(), active_.end(), has_partial_request) ||
         std::any_of(pending_.begin(), pending_.end(), has_partial_request);
}

void ConnectionTable::move_to_back(ConnectionList& list, Connection& connection) {
  list.splice(list.end(), *connection.list_, connection.position_);
  connection.list_ = &list;
}

// Closes the connection. The caller must hold a reference, as the connection may be removed from its list
// inside this function.
void ConnectionTable::evict(Connection& connection, core::Counter reason) {
  counters_.add(reason);
  connection.close();
  connection.flush();
}

}  // namespace pathstack::resp

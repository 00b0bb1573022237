#include "hosts/connection_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "policy/drain_grace.h"

namespace pathstack::hosts {

using core::Outcome;
using core::WorkerState;

namespace {

// Estimated memory in bytes: of a host in all parts of the program, and of a connection without what it
// buffers.
constexpr std::size_t kHostBytes = 1300, kConnectionBytes = 4096;

}  // namespace

ConnectionPool::ConnectionPool(net::Loop& loop, net::BufferPool& pool, core::Counters& counters,
                               Limits limits)
    : loop_(loop), pool_(pool), counters_(counters), limits_(std::move(limits)) {
  // With few attempts per connection, a fixed number of connections would leave slots of a host unused.
  limits_.max_connections_per_host = std::max(
      limits_.max_connections_per_host, limits_.max_calls_per_host / limits_.max_attempts_per_connection);
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::Host::drain() {
  for (const auto& connection : connections) connection->drain();
}

void ConnectionPool::Host::mark_replaced() {
  for (const auto& connection : connections) connection->mark_replaced();
}

void ConnectionPool::members(const core::MemberList& list) {
  std::set<std::string> named;
  for (const auto& member : list.members) {
    named.insert(member.entry.worker);
    update_member(member);
  }
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    Host& host = i->second;
    if (list.complete && named.count(i->first) == 0) {
      host.member.entry.state = WorkerState::gone;
      host.drain();
    }
    // Hosts that are gone are removed with their last connection; otherwise their number would grow with
    // every deployment.
    const bool forgotten = host.member.entry.state == WorkerState::gone && host.connections.empty();
    if (forgotten) index_address(i->first, host.member.address, {});
    i = forgotten ? hosts_.erase(i) : std::next(i);
  }
}

void ConnectionPool::update_member(const core::Member& member) {
  const std::string& id = member.entry.worker;
  Host& host = hosts_[id];
  const bool known = !host.member.entry.worker.empty();
  // Start times are taken from the wall clock of the host, which may be stepped back, so any change is a
  // restart. Zero means unknown: entries of draining or gone hosts need not have a start time.
  const Millis previous_start = host.member.entry.started;
  const bool has_start = member.entry.started.count() != 0;
  const bool moved = member.address != host.member.address;
  const bool restarted = known && (moved || (has_start && member.entry.started != previous_start));
  if (restarted) host.mark_replaced();
  if (moved) index_address(id, host.member.address, member.address);
  host.member = member;
  if (!has_start) host.member.entry.started = previous_start;
  if (member.entry.state != WorkerState::ready) return host.drain();
  mark_others_replaced(member.address, id);
}

// A new host can have the address of one that is gone; connections to the old host must not be used for it.
void ConnectionPool::mark_others_replaced(const std::string& address, const std::string& id) {
  const auto [first, last] = ids_by_address_.equal_range(address);
  for (auto other = first; other != last; ++other) {
    if (other->second != id) hosts_.at(other->second).mark_replaced();
  }
}

// Moves `id` in the index from address `before` to `now`. Empty addresses are not indexed.
void ConnectionPool::index_address(const std::string& id, const std::string& before, const std::string& now) {
  const auto [first, last] = ids_by_address_.equal_range(before);
  const auto found = std::find_if(first, last, [&](const auto& entry) { return entry.second == id; });
  if (found != last) ids_by_address_.erase(found);
  if (!now.empty()) ids_by_address_.emplace(now, id);
}

ConnectionPool::Host* ConnectionPool::ready_host(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found != hosts_.end() && found->second.member.entry.state == WorkerState::ready) return &found->second;
  counters_.add(core::Counter::guard_host_not_ready);
  return nullptr;
}

ConnectionPool::ConnectionChoice ConnectionPool::connection_to_ready_host(const std::string& id,
                                                                          const std::string& ref) {
  Host* host = ready_host(id);
  return host == nullptr ? ConnectionChoice{} : connection_for(*host, ref);
}

// Chooses the least loaded connection that accepts `ref`, or opens a new one.
ConnectionPool::ConnectionChoice ConnectionPool::connection_for(Host& host, const std::string& ref) {
  Connection* least_loaded = nullptr;
  std::size_t counted = 0;
  for (const auto& connection : host.connections) {
    counted += connection->counts_for_host() ? 1 : 0;
    if (!connection->accepts(ref)) continue;
    if (least_loaded == nullptr || connection->load() < least_loaded->load()) least_loaded = connection.get();
  }
  if (least_loaded != nullptr) return {least_loaded};
  // With more hosts than allowed connections, idle connections would otherwise make other hosts unreachable.
  const bool may_open = counted < limits_.max_connections_per_host &&
                        (connections_ < limits_.max_connections || close_idle_connection());
  if (may_open) return open_connection(host);
  counters_.add(core::Counter::hosts_no_link);
  return {nullptr, Outcome::not_sent};
}

ConnectionPool::ConnectionChoice ConnectionPool::open_connection(Host& host) {
  net::ConnectResult result = net::begin_connect(host.member.address);
  if (result.fault != net::ConnectFault::none) {
    const bool local = result.fault == net::ConnectFault::local;
    counters_.add(local ? core::Counter::hosts_connect_local_faults : core::Counter::hosts_connect_failed);
    return {nullptr, local ? Outcome::not_sent : Outcome::connect_failed};
  }
  counters_.add(core::Counter::hosts_links_opened);
  local_fault_backoff_.reset();
  ++connections_;
  ConnectionObserver& observer = *this;
  host.connections.push_back(std::make_shared<Connection>(
      loop_, pool_, counters_, limits_, observer, host.member.entry.worker, std::move(result.socket)));
  return {host.connections.back().get()};
}

// Ends the least recently used idle connection; returns false if none is idle.
bool ConnectionPool::close_idle_connection() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [id, host] : hosts_) {
    for (const auto& connection : host.connections) {
      if (!connection->idle()) continue;
      if (!oldest || connection->last_used() < oldest->last_used()) oldest = connection;
    }
  }
  if (!oldest) return false;
  counters_.add(core::Counter::hosts_idle_ended);
  oldest->end_later();
  oldest->flush();  // immediately, as its descriptor is needed
  return true;
}

// Reports a failure of the host immediately, and a local fault after a backoff. The backoff is capped at
// half of `timeout`: a report after the time-out would be taken for a host that did not answer.
void ConnectionPool::report_failure(Outcome failure, Millis timeout, std::function<void()> report) {
  const Millis now = loop_.now();
  const bool local = failure == Outcome::not_sent;
  const Millis delay = local ? std::min(local_fault_backoff_.next(now), timeout / 2) : Millis(0);
  loop_.at(loop_.now() + delay, std::move(report));
}

void ConnectionPool::send_attempt(const core::Attempt& attempt, const std::string& id, const core::Call& call,
                                  Millis timeout) {
  const auto [connection, failure] = connection_to_ready_host(id, call.ref);
  if (connection == nullptr) {
    return report_failure(failure, timeout, [this, attempt, outcome = failure] {
      dispatcher_->attempt_ended(attempt, {outcome, 0, std::nullopt, {}});
    });
  }
  attempts_[attempt] = connection;
  connection->exec(attempt, call, timeout);
}

bool ConnectionPool::cancel(const core::Attempt& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return false;
  Connection* connection = found->second;
  attempts_.erase(found);
  return connection->cancel(attempt);
}

void ConnectionPool::probe(const std::string& id) {
  const auto [connection, failure] = connection_to_ready_host(id, {});
  if (connection == nullptr) {
    return report_failure(failure, limits_.order_timeout, [this, id, outcome = failure] {
      dispatcher_->probe_ended({id, outcome, Millis(0), std::nullopt});
    });
  }
  counters_.add(core::Counter::hosts_probes);
  connection->probe("p" + std::to_string(++last_tag_));
}

void ConnectionPool::order_load(const std::string& id, std::uint64_t function, int instances) {
  const auto [connection, failure] = connection_to_ready_host(id, {});
  if (connection == nullptr) {
    return report_failure(failure, limits_.order_timeout, [this, id, function, outcome = failure] {
      dispatcher_->load_ended({id, function, outcome, Millis(0), 0});
    });
  }
  connection->order_load("t" + std::to_string(++last_tag_), function, instances);
}

void ConnectionPool::unload(const std::string& id, std::uint64_t function) {
  Connection* connection = connection_to_ready_host(id, {}).connection;
  if (connection != nullptr) connection->unload(function);
}

void ConnectionPool::on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) {
  attempts_.erase(attempt);
  dispatcher_->attempt_ended(attempt, std::move(end));
}

void ConnectionPool::on_load_ended(core::LoadOutcome&& end) { dispatcher_->load_ended(std::move(end)); }

void ConnectionPool::on_probe_ended(core::ProbeOutcome&& end) { dispatcher_->probe_ended(std::move(end)); }

bool ConnectionPool::take_load_budget() { return dispatcher_->take_load_budget(); }

void ConnectionPool::set_memory_budget(core::MemoryBudget& budget) {
  memory_ = &budget;
  budget.track(core::MemoryOwner::host_answers, [this] { return buffered_bytes_; });
  budget.track(core::MemoryOwner::hosts,
               [this] { return hosts_.size() * kHostBytes + connections_ * kConnectionBytes; });
}

bool ConnectionPool::may_buffer(std::size_t held, std::size_t more) {
  return memory_ == nullptr || memory_->admits_answer(held, more);
}

// The decision module uses leases that end within the drain grace. A message that is queued much longer could
// be sent after a drain that counts as delivered.
bool ConnectionPool::may_still_write(Millis added_at) {
  const Millis now = loop_.now();
  if (now <= list_current_until_) return true;
  const Millis longest = pathstack::policy::max_connection_wait(limits_.drain_grace, limits_.allow_probes);
  if (now - added_at <= longest) return true;
  counters_.add(core::Counter::guard_waited_too_long);
  return false;
}

void ConnectionPool::on_connection_closed(Connection& connection) {
  --connections_;
  counters_.add(core::Counter::hosts_links_ended);
  for (auto i = attempts_.begin(); i != attempts_.end();) {
    i = i->second == &connection ? attempts_.erase(i) : std::next(i);
  }
  auto& connections = hosts_.at(connection.host()).connections;
  const auto found = std::find_if(connections.begin(), connections.end(),
                                  [&](const auto& other) { return other.get() == &connection; });
  loop_.defer_destruction(*found);
  connections.erase(found);
  const bool closed_by_host = connection.end_cause() == net::StreamEnd::closed_by_peer ||
                              connection.end_cause() == net::StreamEnd::reset_by_peer;
  const bool has_other_connection =
      std::any_of(connections.begin(), connections.end(),
                  [](const auto& other) { return other->open() && other->counts_for_host(); });
  const bool was_to_current_process = connection.was_up() && !connection.is_replaced();
  if (was_to_current_process && closed_by_host && !has_other_connection)
    dispatcher_->host_connections_lost(connection.host());
}

}  // namespace pathstack::hosts

/// The pool of connections to worker hosts: sends attempts, probes and load orders, and reports their ends.
///
/// A worker of the decision module is called a host here, as in the line protocol.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/dispatcher.h"
#include "core/member.h"
#include "core/memory_budget.h"
#include "hosts/connection.h"
#include "hosts/limits.h"
#include "hosts/local_fault_backoff.h"
#include "net/loop.h"

namespace pathstack::hosts {

/// Owns all connections to hosts. Opens them on demand, within limits per host and in total.
///
/// Enforces the drain rule: no new request is sent to a host that is not ready in the latest list of hosts. A
/// request that cannot be sent ends with `not_sent` if the fault is local or no connection may be opened, and
/// with `connect_failed` if the fault is the host's. Ends are reported to the dispatcher from the event
/// loop, never from inside a method of this class. Used on the thread of the event loop only; must outlive
/// the last turn of the loop that may call a connection.
class ConnectionPool final : public core::Hosts, private ConnectionObserver {
 public:
  /// The references must outlive this object.
  ConnectionPool(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, Limits limits);
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Sets the receiver of ends. Must be called once, before any other method; `dispatcher` must outlive this
  /// object.
  void attach(core::Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }

  /// Applies a complete list of hosts, or a change to the list. Cost: linear in the known hosts and in the
  /// list.
  void members(const core::MemberList& list);

  /// Sets the time until which the list of hosts is current. After `until`, a change that was not received
  /// may count as delivered, so attempts and load orders that were queued for their connection for too long
  /// are no longer written. The list is always current if this method is never called.
  void list_lease(Millis until) { list_current_until_ = until; }

  /// Receives answers only while `budget`, which must outlive this object, admits them, and reports to it
  /// what hosts hold. Without a budget, memory is not limited.
  void set_memory_budget(core::MemoryBudget& budget);

  /// The observer of all connections.
  ConnectionObserver& observer() { return *this; }

  /// Sends an attempt of `call` to host `id`; `timeout` is the time that its client has left. Cost: linear in
  /// the connections of the host, or in all connections if `Limits::max_connections` are open.
  void send_attempt(const core::Attempt& attempt, const std::string& id, const core::Call& call,
                    Millis timeout) override;
  /// Cancels an attempt; returns true if it may have run. Cost: linear in the open attempts of its
  /// connection.
  bool cancel(const core::Attempt& attempt) override;
  /// Requests a load report of host `id`. Cost as for `send_attempt`.
  void probe(const std::string& id) override;
  /// Orders `instances` instances of `function` at host `id`. Cost as for `send_attempt`.
  void order_load(const std::string& id, std::uint64_t function, int instances) override;
  /// Allows host `id` to unload `function`. No outcome is reported. Cost as for `send_attempt`.
  void unload(const std::string& id, std::uint64_t function) override;

 private:
  struct Host {
    core::Member member;
    std::vector<std::shared_ptr<Connection>> connections;

    void drain();
    void mark_replaced();
  };
  /// A connection, or the outcome of the request if there is none.
  struct ConnectionChoice {
    Connection* connection = nullptr;
    core::Outcome failure = core::Outcome::not_sent;
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Counters& counters_;
  Limits limits_;
  core::Dispatcher* dispatcher_ = nullptr;
  std::map<std::string, Host> hosts_;
  std::unordered_multimap<std::string, std::string> ids_by_address_;
  std::map<core::Attempt, Connection*> attempts_;
  std::size_t connections_ = 0;  // number of connections to all hosts
  std::uint64_t last_tag_ = 0;
  LocalFaultBackoff local_fault_backoff_;
  Millis list_current_until_{std::numeric_limits<double>::infinity()};
  const core::MemoryBudget* memory_ = nullptr;
  std::size_t buffered_bytes_ = 0;  // of all connections, see `ConnectionObserver`

  void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) override;
  void on_load_ended(core::LoadOutcome&& end) override;
  void on_probe_ended(core::ProbeOutcome&& end) override;
  void on_connection_closed(Connection& connection) override;
  bool take_load_budget() override;
  bool may_still_write(Millis added_at) override;
  bool may_buffer(std::size_t held, std::size_t more) override;
  void on_buffered_changed(std::ptrdiff_t change) override { buffered_bytes_ += change; }

  void update_member(const core::Member& member);
  void mark_others_replaced(const std::string& address, const std::string& id);
  void index_address(const std::string& id, const std::string& before, const std::string& now);
  Host* ready_host(const std::string& id);
  ConnectionChoice connection_to_ready_host(const std::string& id, const std::string& ref);
  ConnectionChoice connection_for(Host& host, const std::string& ref);
  ConnectionChoice open_connection(Host& host);
  bool close_idle_connection();
  void report_failure(core::Outcome failure, Millis timeout, std::function<void()> report);
};

}  // namespace pathstack::hosts

/// The pool of connections to worker processes: attempts, probes and load orders go out here, and their ends
/// come back.
///
/// A worker of the decision module is a host on the wire. Both words name the same process; here, as in the
/// line protocol, it is a host.
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
#include "hosts/connection.h"
#include "hosts/limits.h"
#include "hosts/local_fault_backoff.h"
#include "net/loop.h"

namespace pathstack::hosts {

/// Owns all connections to hosts, opened as they are needed and bounded for each host and in all.
///
/// Enforces the drain rule: nothing new goes to a host that the last list does not call ready. What can't be
/// sent ends with an outcome of its own: `not_sent` if the fault is this machine's or no connection may be
/// opened, `connect_failed` if it is the host's. Ends are reported to the dispatcher from the event loop,
/// never from inside a method of this class. Used on the loop's thread only; must outlive the last turn of
/// the loop that may call a connection.
class ConnectionPool final : public core::Hosts, private ConnectionObserver {
 public:
  /// The references must outlive this object.
  ConnectionPool(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, Limits limits);
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Sets whom ends are reported to. Once, before anything else is called; `dispatcher` must outlive this.
  void attach(core::Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }

  /// Takes a complete list of hosts or a change of it. Cost: a walk of all hosts, and constant for each row.
  void members(const core::MemberList& list);

  /// Changes of the list that were not received may count as told from `until` on. Past that, calls and load
  /// orders that have waited for their connection are not written any more. Without a call the list is always
  /// current.
  void list_lease(Millis until) { list_current_until_ = until; }

  /// What connections report to.
  ConnectionObserver& observer() { return *this; }

  /// Sends an attempt of `call` to host `id`, with the time `timeout` that its client has left. Cost: a walk
  /// of the host's connections; of all connections if as many are up as may be.
  void send_attempt(const core::Attempt& attempt, const std::string& id, const core::Call& call,
                    Millis timeout) override;
  /// Gives an attempt up; true if it may have run. Cost: linear in the attempts of its connection.
  bool cancel(const core::Attempt& attempt) override;
  /// Asks host `id` for a load report. Cost as of `exec`.
  void probe(const std::string& id) override;
  /// Orders `instances` instances of `function` at host `id`. Cost as of `exec`.
  void order_load(const std::string& id, std::uint64_t function, int instances) override;
  /// Lets host `id` unload `function`. No end is reported. Cost as of `exec`.
  void unload(const std::string& id, std::uint64_t function) override;

 private:
  struct Host {
    core::Member member;
    std::vector<std::shared_ptr<Connection>> connections;

    void drain();
    void mark_replaced();
  };
  /// A connection, or the outcome of what was to go over it.
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
  std::size_t connections_ = 0;  // to all hosts
  std::uint64_t last_tag_ = 0;
  LocalFaultBackoff local_fault_backoff_;
  Millis list_current_until_{std::numeric_limits<double>::infinity()};

  void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) override;
  void on_load_ended(core::LoadOutcome&& end) override;
  void on_probe_ended(core::ProbeOutcome&& end) override;
  void on_connection_closed(Connection& connection) override;
  bool take_load_budget() override;
  bool may_still_write(Millis added_at) override;

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

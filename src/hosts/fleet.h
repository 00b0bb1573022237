// The hosts and the pool of connections to them: attempts, probes and orders go out here and their ends come
// back.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/dispatcher.h"
#include "core/member.h"
#include "hosts/limits.h"
#include "hosts/link.h"
#include "net/loop.h"

namespace pathstack::hosts {

/// Owns all connections to hosts, opened as they are needed and bounded for each host and in all. Guards the
/// drain rule: nothing new goes to a host that the last list does not call ready. Used on the loop's thread
/// only; must outlive the last turn of the loop that may call a link.
class Fleet final : public core::Hosts, private LinkObserver {
 public:
  Fleet(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, Limits limits);
  ~Fleet() override;
  void attach(core::Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }

  /// Takes a whole list or a change of it. Cost: a walk of all hosts, and constant for each row.
  void members(const core::MemberList& list);

  void exec(const core::Attempt& attempt, const std::string& id, const core::Call& call,
            Millis timeout) override;
  bool drop(const core::Attempt& attempt) override;
  void probe(const std::string& id) override;
  void ensure(const std::string& id, std::uint64_t function, int instances) override;
  void release(const std::string& id, std::uint64_t function) override;

 private:
  struct Host {
    core::Member member;
    std::vector<std::shared_ptr<Link>> links;
  };
  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Counters& counters_;
  Limits limits_;
  core::Dispatcher* dispatcher_ = nullptr;
  std::map<std::string, Host> hosts_;
  std::unordered_multimap<std::string, std::string> ids_by_address_;
  std::map<core::Attempt, Link*> attempts_;
  std::size_t links_ = 0;
  std::uint64_t last_tag_ = 0;
  Millis backoff_{0};      // how long the latest local fault was kept back; 0: a connection was begun since
  Millis backoff_end_{0};  // until when faults are kept back for as long

  void on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) override;
  void on_load_ended(core::LoadOutcome&& end) override;
  void on_probe_ended(core::ProbeOutcome&& end) override;
  void on_link_closed(Link& link) override;
  bool take_load_budget() override;

  void take_member(const core::Member& member);
  void index_address(const std::string& id, const std::string& before, const std::string& now);
  Host* ready_host(const std::string& id);
  /// A connection, or the outcome of what was to go over it: `not_sent` if the fault is this machine's,
  /// `connect_failed` if it is the host's.
  struct LinkChoice {
    Link* link = nullptr;
    core::Outcome failure = core::Outcome::not_sent;
  };
  LinkChoice link_for(Host& host, const std::string& ref);
  LinkChoice link_to_ready(const std::string& id, const std::string& ref);
  bool close_idle_link();
  Millis next_backoff();
  void later(core::Outcome failure, Millis timeout, std::function<void()> notify);
};

}  // namespace pathstack::hosts

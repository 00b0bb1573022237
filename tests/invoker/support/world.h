/// An invoker without its fronts, connected to stand-in hosts.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "hosts/connection_pool.h"
#include "net/loop.h"
#include "support/settings.h"
#include "support/stand_in_host.h"

namespace pathstack::test {

/// The parts of an invoker behind its fronts, and stand-in hosts, all on one loop.
class World {
 public:
  explicit World(std::size_t hosts, const core::Settings& s = settings(), const hosts::Limits& l = limits(),
                 std::size_t write_buffers = 4096)
      : pool(write_buffers),
        fleet(loop, pool, counters, l),
        dispatcher(
            s, [this] { return loop.now(); }, fleet, counters) {
    fleet.attach(dispatcher);
    for (std::size_t i = 0; i < hosts; ++i) host.push_back(std::make_unique<StandInHost>(loop, pool));
    publish_hosts(pathstack::policy::WorkerState::ready);
  }
  /// Publishes the complete list of hosts, with `state` and `started` set for all hosts, or for host `one`
  /// only.
  void publish_hosts(pathstack::policy::WorkerState state, double started = 0, std::size_t one = SIZE_MAX) {
    host_states.resize(host.size());
    core::MemberList list{true, {}};
    core::HostList entries{core::ListKind::full, {}};
    for (std::size_t i = 0; i < host.size(); ++i) {
      core::Member member;
      member.entry.worker = "h" + std::to_string(i);
      if (one == SIZE_MAX || one == i) host_states[i] = {state, Millis(started), loop.now()};
      member.entry.state = host_states[i].state;
      member.entry.started = host_states[i].started;
      member.address = host[i]->server.address();
      list.members.push_back(member);
      entries.entries.push_back(member.entry);
    }
    fleet.members(list);
    dispatcher.update_hosts(std::move(entries));
  }
  /// Runs one turn of the loop, of at most 20 ms.
  void turn() {
    loop.turn(std::min(dispatcher.next_due(), loop.now() + Millis(20)), [this] { dispatcher.tick(); });
  }
  /// Runs turns until `until` returns true, at most `most` of them; returns what `until` says then.
  template <typename Until>
  bool turn_until(const Until& until, int most = 200000) {
    for (int i = 0; i < most && !until(); ++i) turn();
    return until();
  }
  /// Limits of the connections to hosts; answers report two load fields.
  static hosts::Limits limits() {
    hosts::Limits l;
    l.report_fields = {"inflight", "util"};
    return l;
  }
  /// The last published state of a host, when its process started, and when that was published.
  struct HostState {
    pathstack::policy::WorkerState state = pathstack::policy::WorkerState::gone;
    Millis started{0}, at{0};
  };
  net::Loop loop;
  net::BufferPool pool;
  core::Counters counters;
  std::vector<std::unique_ptr<StandInHost>> host;
  std::vector<HostState> host_states;
  hosts::ConnectionPool fleet;
  core::Dispatcher dispatcher;
};

}  // namespace pathstack::test

/// A simulated worker host: speaks the hosts' line protocol, loads and runs functions, and misbehaves on
/// demand.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hosts/line_parser.h"
#include "listener.h"
#include "net/loop.h"
#include "net/stream.h"
#include "record.h"

namespace pathstack::soak {

/// Fault of a worker host, in addition to draining and stopping.
enum class HostFault {
  none,
  full,            // rejects all calls and load orders as `full`
  failing,         // replies `failed` at once
  moot,            // replies `moot`, as if the call had already ended
  slow,            // runs take ten times as long
  hanging,         // replies to nothing
  resetting,       // closes the connection on one call in four
  closing_idle,    // closes the connections that have no open request
  some_malformed,  // one reply in eight cannot be parsed
  duplicating,     // one reply in four is sent twice
  refusing,        // refuses new connections
  all_malformed    // no reply to a call that ran can be parsed
};

/// Durations of runs (uniform between the bounds) and of loading a function.
struct HostTimes {
  Millis run_min{15}, run_max{60}, load{80};
};

/// One worker host, with an address of its own for each invoker. A restart keeps the object and the addresses
/// but no loaded functions. Must be destroyed before the loop.
class WorkerHost {
 public:
  WorkerHost(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
             std::string id, std::string zone, int invokers, HostTimes times, std::uint64_t seed);
  ~WorkerHost();
  WorkerHost(const WorkerHost&) = delete;
  WorkerHost& operator=(const WorkerHost&) = delete;

  const std::string& id() const { return id_; }
  /// True if `id` is or was the id of this worker.
  bool has_had_id(const std::string& id) const { return all_ids_.count(id) != 0; }
  /// Sets the id of the next process at this address.
  void rename(const std::string& id);
  const std::string& zone() const { return zone_; }
  std::string address(int invoker) const { return endpoints_.at(invoker).listener->address(); }

  /// Rejects new work and reports `ill` to probes; running calls complete.
  void drain() { draining_ = true; }
  /// Simulates the end of the process: closes all connections and refuses new ones.
  void stop();
  /// Simulates the start of a new process, with no functions loaded.
  void start();
  /// Replaces the current fault; HostFault::none ends it.
  void set_fault(HostFault fault);

 private:
  class Peer;
  struct Endpoint {
    std::unique_ptr<Listener> listener;
    std::list<std::shared_ptr<Peer>> peers;
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  std::function<Millis()> clock_;
  std::string id_, zone_;
  std::set<std::string> all_ids_;  // all ids so far
  HostTimes times_;
  std::mt19937_64 random_;
  std::map<int, Endpoint> endpoints_;
  std::set<std::string> loaded_;
  std::map<std::string, int> running_calls_;  // number by function
  bool draining_ = false, stopped_ = false;
  HostFault fault_ = HostFault::none;
  std::uint64_t process_generation_ = 1;  // work started by an earlier process is dropped

  bool one_in(std::uint64_t n) { return random_() % n == 0; }
  void handle_line(Peer& peer, const hosts::Reply& line, Millis first_byte);
  void handle_call(Peer& peer, const hosts::Reply& line, Millis first_byte);
  void handle_load_order(Peer& peer, const hosts::Reply& line, Millis first_byte);
  void run_call(const std::weak_ptr<Peer>& peer, std::size_t record_index, const std::string& function,
                const std::string& body, int running);
  void send_reply(Peer& peer, std::size_t record_index, const std::string& status, const std::string& fields,
                  const std::string& body);
  std::weak_ptr<Peer> weak_to(const Peer& peer) const;
  void peer_ended(Peer& peer);
};

}  // namespace pathstack::soak

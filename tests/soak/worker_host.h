// A stand-in for a worker: the line protocol, loads, runs, and faults that a schedule sets.
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

/// How a worker fails, beside draining and going.
enum class HostFault {
  none,
  full,            // turns all calls away
  failing,         // answers `failed` at once
  moot,            // says that calls were over already
  slow,            // runs take ten times as long
  hanging,         // reads and answers nothing
  resetting,       // ends a connection under every fourth call
  closing_idle,    // ends connections that have nothing open
  some_malformed,  // one answer in eight cannot be read
  duplicating,     // one answer in four comes twice
  refusing,        // takes no new connection
  all_malformed    // no answer to a call can be read
};

struct HostTimes {
  Millis run_min{15}, run_max{60}, load{80};
};

/// One worker. A process of it that goes and comes back is the same object, empty.
class WorkerHost {
 public:
  WorkerHost(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
             std::string id, std::string zone, int invokers, HostTimes times, std::uint64_t seed);
  ~WorkerHost();
  WorkerHost(const WorkerHost&) = delete;
  WorkerHost& operator=(const WorkerHost&) = delete;

  const std::string& id() const { return id_; }
  /// `id` is its own, or was before it was renamed.
  bool has_had_id(const std::string& id) const { return all_ids_.count(id) != 0; }
  /// The next process at this address has another id.
  void rename(const std::string& id);
  const std::string& zone() const { return zone_; }
  std::string address(int invoker) const { return endpoints_.at(invoker).listener->address(); }

  /// Turns new work away and says so to probes; what runs is completed.
  void drain() { draining_ = true; }
  /// The process ends: connections close, new ones are refused.
  void stop();
  /// A new process, with nothing loaded.
  void start();
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
  std::set<std::string> all_ids_;  // all so far
  HostTimes times_;
  std::mt19937_64 random_;
  std::map<int, Endpoint> endpoints_;
  std::set<std::string> loaded_;
  std::map<std::string, int> running_calls_;  // calls by function
  bool draining_ = false, stopped_ = false;
  HostFault fault_ = HostFault::none;
  std::uint64_t process_generation_ = 1;  // what was begun by an earlier process never ends

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

/// A simulated membership log.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "listener.h"
#include "net/loop.h"
#include "net/stream.h"
#include "record.h"

namespace pathstack::soak {

/// One member of an event.
struct MemberRow {
  std::string worker, zone;
  MemberState state = MemberState::ready;
  double started_unix_ms = 0;  // start time of a restarted worker; 0: since the start of the run
};

/// Stores all events and sends them to the invokers. Connection faults are simulated by the proxies in front
/// of the log. Each invoker has its own address of the log and its own addresses of the workers. Must be
/// destroyed before the loop.
class MembershipLog {
 public:
  /// Address of a worker as invoker `invoker` reaches it.
  using AddressOf = std::function<std::string(const std::string& worker, int invoker)>;

  MembershipLog(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
                int invokers, AddressOf address_of);
  ~MembershipLog();
  MembershipLog(const MembershipLog&) = delete;
  MembershipLog& operator=(const MembershipLog&) = delete;

  /// Address for invoker `invoker`, which reaches it through a fault proxy.
  const std::string& address(int invoker) const;
  /// Appends an event and sends it to all connected invokers. The first event is the complete list.
  void append(std::vector<MemberRow> rows);
  /// While `only` is set, invoker `invoker` gets the sequence number of the last event and no events.
  /// Clearing it closes the invoker's connections, so that it requests the withheld events.
  void set_sequence_only(int invoker, bool only);
  /// Whether each event is sent twice.
  void repeat_events(bool duplicate) { writes_ = duplicate ? 2 : 1; }
  /// Whether the sequence number, sent each second, is an object `{"seq":N}` or a plain number.
  void set_sequence_as_object(bool as_objects) { sequence_as_object_ = as_objects; }
  /// Whether the reply to a request ends with the sequence number, as that of the platform's log does.
  void set_sequence_after_request(bool at_once) { sequence_after_request_ = at_once; }
  /// Value of `known` in the configuration of invoker `invoker`: all events so far.
  nlohmann::json known(int invoker) const;

 private:
  class Peer;
  struct Endpoint {
    std::unique_ptr<Listener> listener;
    std::list<std::shared_ptr<Peer>> peers;
    bool sequence_only = false;
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  std::function<Millis()> clock_;
  AddressOf address_of_;
  std::vector<std::vector<MemberRow>> events_;
  std::map<int, Endpoint> endpoints_;
  int writes_ = 1;  // number of times that each event is sent
  bool sequence_as_object_ = true;
  bool sequence_after_request_ = false;
  net::Loop::TimerId sequence_timer_;

  nlohmann::json event(std::size_t index, int invoker) const;
  void send_events(Peer& peer, int invoker, std::uint64_t since);
  void peer_ended(Peer& peer, int invoker);
  void send_sequence();
  std::string sequence_line() const;
};

}  // namespace pathstack::soak

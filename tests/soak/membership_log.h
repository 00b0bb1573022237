// A stand-in for the membership log.
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

/// One row of an event.
struct MemberRow {
  std::string worker, zone;
  MemberState state = MemberState::ready;
  double started_unix_ms = 0;  // of a late start
};

/// The log of all events. Always well itself: faults lie in the proxies in front of it. Every invoker is
/// given addresses of its own for the workers, and asks at an address of its own.
class MembershipLog {
 public:
  /// Address of a worker as invoker `invoker` reaches it.
  using AddressOf = std::function<std::string(const std::string& worker, int invoker)>;

  MembershipLog(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
                int invokers, AddressOf address_of);
  ~MembershipLog();
  MembershipLog(const MembershipLog&) = delete;
  MembershipLog& operator=(const MembershipLog&) = delete;

  /// Where invoker `invoker` asks; the fault proxy stands in front.
  const std::string& address(int invoker) const;
  /// Adds an event, in force at once for everybody who is connected. The first one is the complete list.
  void append(std::vector<MemberRow> rows);
  /// Tells invoker `invoker` the number of the last event alone, and no event, from now on or no more.
  void set_sequence_only(int invoker, bool only);
  /// Writes each event twice, from now on or no more.
  void repeat_events(bool duplicate) { writes_ = duplicate ? 2 : 1; }
  /// Each second's number is written as an object, or as a number.
  void set_sequence_as_object(bool as_objects) { sequence_as_object_ = as_objects; }
  /// Who asks is told the last number at once, behind the events, as the platform's log does.
  void set_sequence_after_request(bool at_once) { sequence_after_request_ = at_once; }
  /// The configuration's `known`, as invoker `invoker` is given it.
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
  int writes_ = 1;  // of each event
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

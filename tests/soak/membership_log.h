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
  void tell_numbers_only(int invoker, bool only);
  /// Writes each event twice, from now on or no more.
  void repeat_events(bool twice) { writes_ = twice ? 2 : 1; }
  /// Each second's number is written as an object, or as a number.
  void write_numbers_as_objects(bool as_objects) { numbers_as_objects_ = as_objects; }
  /// Who asks is told the last number at once, behind the events, as the platform's log does.
  void write_number_after_question(bool at_once) { number_after_question_ = at_once; }
  /// The configuration's `known`, as invoker `invoker` is given it.
  nlohmann::json known(int invoker) const;

 private:
  class Peer;
  struct Front {
    std::unique_ptr<Listener> listener;
    std::list<std::shared_ptr<Peer>> peers;
    bool numbers_only = false;
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  std::function<Millis()> clock_;
  AddressOf address_of_;
  std::vector<std::vector<MemberRow>> events_;
  std::map<int, Front> fronts_;
  int writes_ = 1;  // of each event
  bool numbers_as_objects_ = true;
  bool number_after_question_ = false;
  net::Loop::TimerId number_timer_;

  nlohmann::json event(std::size_t index, int invoker) const;
  void answer(Peer& peer, int invoker, std::uint64_t since);
  void peer_ended(Peer& peer, int invoker);
  void send_numbers();
  std::string number_line() const;
};

}  // namespace pathstack::soak

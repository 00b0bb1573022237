// What clients and hosts saw of each call, for checks of the rules once all is over.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "net/loop.h"
#include "resp/parser.h"

namespace pathstack::test {

using core::Millis;

/// The loop's clock, except that one turn counts for so much at most: what the machine did not let this
/// process do in time is no fault of the code under test.
class TurnClock {
 public:
  static constexpr Millis kMaxTurn{15};
  explicit TurnClock(const net::Loop& loop) : loop_(loop), turn_began_(loop.now()) {}
  Millis now() const { return before_ + std::min(loop_.now() - turn_began_, kMaxTurn); }
  void next_turn() {
    before_ = now();
    turn_began_ = loop_.now();
  }

 private:
  const net::Loop& loop_;
  Millis before_{0}, turn_began_;
};

/// When something was seen: the time, and the number of polls before it.
struct Moment {
  Millis at{0};
  std::uint64_t poll = 0;
};

/// An exec as its host saw it.
struct HostAttempt {
  std::size_t host = 0;
  Moment arrived;
  Millis timeout{0};
  std::string answer;           // the word that the host gave; empty: none
  std::optional<Moment> ended;  // answered, dropped, or its connection closed
  bool never_ran() const { return answer == "absent" || answer == "full" || answer == "moot"; }
};

struct ClientAnswer {
  Moment arrived;
  resp::Words words;
};

struct CallRecord {
  std::string ref;
  pathstack::policy::Semantics semantics = pathstack::policy::Semantics::once;
  Millis timeout{0};
  Moment sent;
  std::optional<Moment> abandoned;  // cancelled, or its client closed the connection
  bool closed_by_invoker = false;   // the invoker closed the connection first
  std::vector<ClientAnswer> answers;
  std::vector<HostAttempt> attempts;
  std::set<std::string> returned_bodies;  // by hosts, with `data`
};

struct CallRecords {
  std::map<std::string, CallRecord> calls;  // by ref
  std::vector<std::string> unmatched;       // answers and execs that belong to no call
};

}  // namespace pathstack::test

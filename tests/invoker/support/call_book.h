/// Records of what clients and hosts observed of each call, checked by a test when all calls have ended.
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

/// The clock of the loop, except that a turn counts for `kMaxTurn` at most. Delays beyond that come from a
/// busy machine, and must not make a test of the invoker fail.
class TurnClock {
 public:
  static constexpr Millis kMaxTurn{15};
  explicit TurnClock(const net::Loop& loop) : loop_(loop), turn_began_(loop.now()) {}
  Millis now() const { return before_ + std::min(loop_.now() - turn_began_, kMaxTurn); }
  /// Must be called once per turn of the loop.
  void next_turn() {
    before_ = now();
    turn_began_ = loop_.now();
  }

 private:
  const net::Loop& loop_;
  Millis before_{0}, turn_began_;
};

/// When an event was observed: the time, and the number of polls before the event.
struct Moment {
  Millis at{0};
  std::uint64_t poll = 0;
};

/// An `exec` request as its host observed it.
struct HostAttempt {
  std::size_t host = 0;
  Moment arrived;
  Millis timeout{0};
  std::string answer;           // the answer word that the host sent; empty: none
  std::optional<Moment> ended;  // answered, cancelled, or its connection closed
  /// True if the answer guarantees that the call did not run on the host.
  bool never_ran() const { return answer == "absent" || answer == "full" || answer == "moot"; }
};

/// An answer as the client received it.
struct ClientAnswer {
  Moment arrived;
  resp::Words words;
};

/// A call with all its attempts and answers.
struct CallRecord {
  std::string ref;
  pathstack::policy::Semantics semantics = pathstack::policy::Semantics::once;
  Millis timeout{0};
  Moment sent;
  std::optional<Moment> abandoned;  // cancelled, or its client closed the connection
  bool closed_by_invoker = false;   // the invoker closed the connection first
  std::vector<ClientAnswer> answers;
  std::vector<HostAttempt> attempts;
  std::set<std::string> returned_bodies;  // bodies that hosts sent with `data`
};

/// The records of all calls of a test.
struct CallRecords {
  std::map<std::string, CallRecord> calls;  // by ref
  std::vector<std::string> unmatched;       // answers and `exec` requests that belong to no call
};

}  // namespace pathstack::test

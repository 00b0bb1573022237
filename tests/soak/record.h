// What clients, hosts and the membership log saw in one run. The judge reads this and nothing else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace pathstack::soak {

/// May a call run again? As the platform's settings name it.
enum class Semantics { repeatable, keyed, once };

enum class MemberState { ready, draining, gone };

/// The limits of the platform's rules in one run.
/// What a run asks of service while the membership log is out of reach.
struct OutageService {
  double min_served_share = 0;  // of calls served, in the outage and after it; 0: nothing is asked
  Millis counted_after{4500};   // into the outage: by then all that it keeps back counts as told at once
  Millis recovery_time{500};    // of the log's return
};

struct RuleSettings {
  Millis drain_grace{250};
  Millis slack{50};  // the page on sockets lengthens each time limit by so much
  Millis reply_grace{8};
  int send_cap = 4;
  double load_floor = 3, load_ratio = 0.15;
  Millis load_window{5000};
  double memory_mb = 128;
  std::size_t descriptors = 512;
  double min_served_share = 0;             // of calls served in the run; 0: nothing is asked
  double min_served_share_per_second = 0;  // the same of each second
  OutageService outage;
};

/// An event of the membership log, at the time at which it is in the log.
struct MembershipChange {
  Millis at{0};
  std::string worker;
  MemberState state = MemberState::ready;
};

/// How the membership log is out of an invoker's reach.
enum class LogFault {
  refused,       // connections break, new ones are refused
  silent,        // open connections stay open, new ones are accepted; nothing passes
  truncated,     // as `silent`, after half of the next line
  moved,         // a new configuration names another address
  reset,         // connections break, new ones are accepted and stay silent
  sequence_only  // only the number of the last event is told
};

struct LogOutage {
  int invoker = 0;
  LogFault fault = LogFault::refused;
  Millis from{0}, to{0};
};

/// A time in which the log's bytes took so much longer on their way to every invoker.
struct LogDelay {
  Millis from{0}, to{0}, delay{0};
};

/// A `since N` line that reached the log.
struct LogQuery {
  int invoker = 0;
  Millis at{0};
};

/// A call or an order to load as the host received it.
struct HostRequest {
  enum class Kind { call, load_order };
  Kind kind = Kind::call;
  int invoker = 0;
  std::string worker;
  std::string ref;    // of a call
  int instances = 0;  // of an order
  Millis timeout{0};  // of a call: the time that the invoker says it waits
  Millis first_byte{0}, complete{0};
  std::string reply_status;     // the word; empty: none
  std::optional<Millis> ended;  // answered, dropped, or its connection closed
};

struct ClientReply {
  Millis at{0};
  std::string status, body;
};

struct Call {
  std::string ref;
  int invoker = 0;
  Semantics semantics = Semantics::repeatable;
  Millis sent{0}, time_limit{0};
  std::optional<Millis> abandoned;        // cancelled, or the client closed the connection
  std::optional<Millis> connection_lost;  // the invoker closed the connection first
  std::vector<ClientReply> replies;
};

/// One process of an invoker, from its start to its end.
struct ProcessLifetime {
  int invoker = 0;
  Millis started{0};
  std::optional<Millis> ready, terminated, killed, ended;
  std::optional<int> exit_status;  // none if a signal ended it
};

/// A time in which the recording process itself did not run: what it saw then may be older than it says.
struct Stall {
  Millis from{0}, to{0};
};

/// What a process used at one moment.
struct ResourceSample {
  int invoker = 0;
  Millis at{0};
  double memory_mb = 0;  // the peak so far; 0 where the build inflates it
  std::size_t descriptors = 0;
};

struct Record {
  RuleSettings rules;
  std::vector<MembershipChange> changes;
  std::vector<LogOutage> outages;
  std::vector<LogDelay> delays;
  std::vector<LogQuery> log_queries;
  std::vector<HostRequest> requests;
  std::vector<Call> calls;
  std::vector<ProcessLifetime> process_lifetimes;
  std::vector<Stall> stalls;
  std::vector<ResourceSample> samples;
  Millis length{0};

  /// The pages' slack, and the longest stall of the recorder in the second before `at`.
  Millis slack_at(Millis at) const {
    Millis longest{0};
    for (const Stall& stall : stalls) {
      const bool near = stall.to >= at - Millis(1000) && stall.from <= at;
      if (near && stall.to - stall.from > longest) longest = stall.to - stall.from;
    }
    return rules.slack + longest;
  }
};

}  // namespace pathstack::soak

/// Record of one run as seen by the clients, the worker hosts and the membership log: the only input of the
/// judge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace pathstack::soak {

/// Whether a call may be run again, as in the platform's settings: always, with an idempotency key, or never.
enum class Semantics { repeatable, keyed, once };

/// State of a worker in the membership log.
enum class MemberState { ready, draining, gone };

/// Minimum service while the membership log is unreachable.
struct OutageService {
  double min_served_share = 0;  // in the outage and after it; 0: no minimum
  Millis counted_after{4500};   // from the outage's start; later events count as known at once
  Millis recovery_time{500};    // from the outage's end
};

/// Limits of the platform's rules in one run.
struct RuleSettings {
  Millis drain_grace{250};
  Millis slack{50};  // added to each time limit, by the rules for deployments over sockets
  Millis reply_grace{8};
  int send_cap = 4;
  double load_floor = 3, load_ratio = 0.15;
  Millis load_window{5000};
  double memory_mb = 128;
  std::size_t descriptors = 512;
  double min_served_share = 0;             // over the whole run; 0: no minimum
  double min_served_share_per_second = 0;  // of each second; 0: no minimum
  OutageService outage;
};

/// A change of a worker's state, at the time at which the membership log contains it.
struct MembershipChange {
  Millis at{0};
  std::string worker;
  MemberState state = MemberState::ready;
};

/// How an invoker loses the membership log.
enum class LogFault {
  refused,       // connections are closed, new ones are refused
  silent,        // connections stay open and new ones are accepted, but no data passes
  truncated,     // half of the next line is sent, then as `silent`
  moved,         // a new configuration gives another address
  closed,        // connections are closed; new ones are accepted and stay silent
  sequence_only  // only the sequence number of the last event is sent
};

/// A time in which one invoker could not read the membership log.
struct LogOutage {
  int invoker = 0;
  LogFault fault = LogFault::refused;
  Millis from{0}, to{0};
};

/// A time in which the log's data reached every invoker later by `delay`.
struct LogDelay {
  Millis from{0}, to{0}, delay{0};
};

/// A request (`since N`) that reached the membership log.
struct LogQuery {
  int invoker = 0;
  Millis at{0};
};

/// A call or a load order as a worker host received it.
struct HostRequest {
  enum class Kind { call, load_order };
  Kind kind = Kind::call;
  int invoker = 0;
  std::string worker;
  std::string ref;    // calls only
  int instances = 0;  // load orders only; 0: a query
  Millis timeout{0};  // calls only: how long the invoker says that it waits
  Millis first_byte{0}, complete{0};
  std::string reply_status;     // as sent, such as `data`; empty: no reply
  std::optional<Millis> ended;  // replied to, cancelled, or connection closed
};

/// A final reply as a client received it.
struct ClientReply {
  Millis at{0};
  std::string status, body;
};

/// A call as its client saw it.
struct Call {
  std::string ref;
  int invoker = 0;
  Semantics semantics = Semantics::repeatable;
  Millis sent{0}, time_limit{0};
  std::optional<Millis> abandoned;        // cancelled by the client, or the client disconnected
  std::optional<Millis> connection_lost;  // the invoker closed the connection first
  std::vector<ClientReply> replies;
};

/// One invoker process. `terminated` and `killed` are the times of SIGTERM and SIGKILL.
struct ProcessLifetime {
  int invoker = 0;
  Millis started{0};
  std::optional<Millis> ready, terminated, killed, ended;
  std::optional<int> exit_status;  // nullopt if a signal ended the process
};

/// A time in which the recording process itself did not run: times recorded at its end may be too late.
struct Stall {
  Millis from{0}, to{0};
};

/// Resource usage of a process at one time.
struct ResourceSample {
  int invoker = 0;
  Millis at{0};
  double memory_mb = 0;  // peak so far; 0 if unknown or inflated by a sanitizer
  std::size_t descriptors = 0;
};

/// All that was recorded in one run. Times count from the start of the run.
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

  /// Slack of the rules plus the longest stall of the recorder in the second before `at`.
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

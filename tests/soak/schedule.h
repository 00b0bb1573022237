/// Schedules of a run: a deployment with timed faults, generated from a seed or predefined under a name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "record.h"
#include "worker_host.h"

namespace pathstack::soak {

/// Groups of faults that `--kind` selects, alone or combined.
enum class FaultKind { discovery, drains, hosts, signals, clients, machine };

/// All kinds, in the order in which `--help` names them.
const std::vector<FaultKind>& all_kinds();
const char* name_of(FaultKind kind);
/// nullopt for an unknown name.
std::optional<FaultKind> kind_named(const std::string& name);

/// Sizes and settings of one run.
struct Deployment {
  int invokers = 3, hosts = 8, zones = 2, functions = 24;
  double calls_per_second = 40;  // per invoker
  Millis repeatable_time_limit{1200}, once_time_limit{1500};
  int send_cap = 4;
  bool probes = true, orders = true;
  bool sequence_as_object = true;       // the log sends {"seq":N} rather than N
  bool sequence_after_request = false;  // a reply to a request ends with the sequence number
  int descriptors = 512, memory_mb = 128;
  HostTimes times;
  double min_served_share = 0, min_served_share_per_second = 0;  // 0: no minimum
  double min_served_share_in_outage = 0;                         // 0: no minimum
};

/// The membership log is unreachable for one invoker or for all.
struct LogOutageFault {
  int invoker = -1;  // -1: all
  LogFault fault = LogFault::refused;
  Millis length{0};
};
/// The log's data is delayed.
struct LogDelayFault {
  Millis delay{0}, length{0};
};
/// All connections to the log are closed once.
struct LogBreakFault {};
/// The log sends each event twice.
struct LogRepeatFault {
  Millis length{0};
};
/// A worker drains and stops some time later; then a new process starts at the same address.
struct DrainFault {
  int host = 0;
  Millis event_delay{0};     // from the drain to its event in the log
  Millis stop_after{0};      // from the drain to the end of the process
  Millis restart_after{0};   // from the end of the process to the next start; 0: never
  bool with_new_id = false;  // the new process has another worker id
};
/// All hosts of a zone whose index is less than `below` drain at once.
struct ZoneDrainFault {
  int zone = 0, below = 0;
  DrainFault drain;
};
/// A worker's process ends without draining and is restarted. `event_delay`: from the end to its event.
struct CrashFault {
  int host = 0;
  Millis event_delay{0}, restart_after{0};
};
/// A worker host misbehaves for some time.
struct HostFaultSpan {
  int host = 0;
  HostFault fault = HostFault::none;
  Millis length{0};
};
/// Signals sent to one invoker.
struct SignalFault {
  enum class Kind {
    counters,        // SIGUSR1
    reload,          // SIGHUP with an unchanged configuration
    move,            // SIGHUP after the log has moved to another address
    restart,         // SIGTERM, then SIGKILL when the platform's rules allow it
    restart_reload,  // as `restart`, directly after SIGHUP
    kill             // SIGKILL
  };
  int invoker = 0;
  Kind kind = Kind::counters;
  int times = 1;                // number of signals in succession
  Millis new_log_delay{0};      // `move` only: how long the new address refuses connections
  bool new_log_silent = false;  // the new address accepts connections instead, but is silent
};
/// Unusual behaviour of the clients of one invoker. `count`: of calls, cancels or connections.
struct ClientFault {
  enum class Kind { idle_connections, burst, cancels, disconnects, malformed_input, split_requests };
  int invoker = 0;
  Kind kind = Kind::idle_connections;
  int count = 0;
};
/// The wall clock of all invokers jumps.
struct ClockStepFault {
  Millis by{0};
};
/// System calls of one invoker fail or transfer less than asked for, at the given rate.
struct SystemCallFault {
  int invoker = 0;
  int per_mille = 0;
  Millis length{0};
};

using Fault =
    std::variant<LogOutageFault, LogDelayFault, LogBreakFault, LogRepeatFault, DrainFault, ZoneDrainFault,
                 CrashFault, HostFaultSpan, SignalFault, ClientFault, ClockStepFault, SystemCallFault>;

/// A fault and its time after the start of the traffic.
struct TimedFault {
  Millis at{0};
  Fault fault;
};

/// Definition of one run.
struct Schedule {
  std::string name;
  std::uint64_t seed = 0;
  Millis length{0};
  Deployment deployment;
  std::vector<TimedFault> faults;  // ordered by time, if generated
};

/// Parts of a generated schedule that the caller fixes; absent ones are drawn from the seed.
struct GeneratorOptions {
  Millis length{30000};
  std::optional<int> invokers, hosts;
  std::vector<FaultKind> kinds = all_kinds();
};

/// Generates a schedule. Deterministic: equal seeds and options give equal schedules, with any standard
/// library.
Schedule generate_schedule(std::uint64_t seed, const GeneratorOptions& options);

/// A schedule that reproduces a failure found earlier; nullopt for an unknown name.
std::optional<Schedule> named_schedule(const std::string& name);
std::vector<std::string> schedule_names();

/// Text of `--dry-run`: one line for the deployment and one for each fault.
std::string describe(const Schedule& schedule);

}  // namespace pathstack::soak

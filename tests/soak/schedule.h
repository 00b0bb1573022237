// What happens in one run: a deployment and its faults, drawn by a seed or given a name.
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

/// Kinds of faults that can be asked for alone or joined.
enum class FaultKind { discovery, drains, hosts, signals, clients, machine };

/// All kinds, in the order of their names in `--help`.
const std::vector<FaultKind>& all_kinds();
const char* name_of(FaultKind kind);
std::optional<FaultKind> kind_named(const std::string& name);

/// Sizes and settings of one run.
struct Deployment {
  int invokers = 3, hosts = 8, zones = 2, functions = 24;
  double calls_per_second = 40;  // of one invoker
  Millis repeatable_time_limit{1200}, once_time_limit{1500};
  int send_cap = 4;
  bool probes = true, orders = true;
  bool sequence_as_object = true;       // the log writes {"seq":N}, else N
  bool sequence_after_request = false;  // the log writes its number at once to who asks, too
  int descriptors = 512, memory_mb = 128;
  HostTimes times;
  double min_served_share = 0, min_served_share_per_second = 0;  // of calls served; 0: nothing is asked
  double min_served_share_in_outage = 0;                         // of calls served; 0: nothing is asked
};

/// The log is out of reach of one invoker, or of all.
struct LogOutageFault {
  int invoker = -1;  // -1: all
  LogFault fault = LogFault::refused;
  Millis length{0};
};
/// The log's bytes come later, or connections to it break once.
struct LogDelayFault {
  Millis delay{0}, length{0};
};
struct LogBreakFault {};
/// The log writes each event twice.
struct LogRepeatFault {
  Millis length{0};
};
/// A worker drains, and goes some time later; then another process starts under the same id.
struct DrainFault {
  int host = 0;
  Millis event_delay{0};     // from the drain to its event
  Millis stop_after{0};      // from the drain
  Millis restart_after{0};   // from the end of the process to the next one; 0: never
  bool with_new_id = false;  // the next one has another id, at the same address
};
/// All hosts of a zone drain at once, of those with a place below the bound.
struct ZoneDrainFault {
  int zone = 0, below = 0;
  DrainFault drain;
};
/// A worker's process ends without draining and starts anew.
struct CrashFault {
  int host = 0;
  Millis event_delay{0}, restart_after{0};
};
struct HostFaultSpan {
  int host = 0;
  HostFault fault = HostFault::none;
  Millis length{0};
};
/// Signals to one invoker.
struct SignalFault {
  enum class Kind {
    counters,        // SIGUSR1
    reload,          // SIGHUP, nothing changed
    move,            // SIGHUP: the log goes on at another address
    restart,         // SIGTERM, and SIGKILL when the page allows it
    restart_reload,  // the same, right after SIGHUP
    kill             // SIGKILL
  };
  int invoker = 0;
  Kind kind = Kind::counters;
  int times = 1;                // in a row
  Millis new_log_delay{0};      // of `move`: how long the new address refuses
  bool new_log_silent = false;  // it accepts meanwhile, and is silent
};
struct ClientFault {
  enum class Kind { idle_connections, burst, cancels, disconnects, malformed_input, split_requests };
  int invoker = 0;
  Kind kind = Kind::idle_connections;
  int count = 0;
};
/// The wall clock of all invokers is stepped.
struct ClockStepFault {
  Millis by{0};
};
/// System calls of one invoker fail, or come short, at the given rate.
struct SystemCallFault {
  int invoker = 0;
  int per_mille = 0;
  Millis length{0};
};

using Fault =
    std::variant<LogOutageFault, LogDelayFault, LogBreakFault, LogRepeatFault, DrainFault, ZoneDrainFault,
                 CrashFault, HostFaultSpan, SignalFault, ClientFault, ClockStepFault, SystemCallFault>;

struct TimedFault {
  Millis at{0};
  Fault fault;
};

struct Schedule {
  std::string name;
  std::uint64_t seed = 0;
  Millis length{0};
  Deployment deployment;
  std::vector<TimedFault> faults;  // in order of time
};

/// What a user may fix of a drawn schedule.
struct GeneratorOptions {
  Millis length{30000};
  std::optional<int> invokers, hosts;
  std::vector<FaultKind> kinds = all_kinds();
};

/// The same seed and options give the same schedule.
Schedule generate_schedule(std::uint64_t seed, const GeneratorOptions& options);

/// A schedule kept for a failure that was found; nothing for an unknown name.
std::optional<Schedule> named_schedule(const std::string& name);
std::vector<std::string> schedule_names();

/// One line for the deployment and one for each fault.
std::string describe(const Schedule& schedule);

}  // namespace pathstack::soak

/// The simulated workers, the membership log and the fault proxies in front of the log.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "membership_log.h"
#include "net/loop.h"
#include "record.h"
#include "schedule.h"
#include "worker_host.h"

namespace pathstack::soak {

/// All peers of the invokers of a run except the clients. Must be destroyed before the loop.
class Fleet {
 public:
  Fleet(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
        const Deployment& deployment, std::uint64_t seed);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Address at which invoker `invoker` reads the membership log.
  const std::string& log_address(int invoker) const { return log_proxies_[invoker].current->address(); }
  /// Value of `known` in the configuration of invoker `invoker`.
  nlohmann::json known_events(int invoker) const { return log_.known(invoker); }

  void apply(const LogOutageFault& fault);
  void apply(const LogDelayFault& fault);
  void apply(const LogBreakFault& fault);
  void apply(const LogRepeatFault& fault);
  void apply(const ZoneDrainFault& fault);
  void apply(const DrainFault& fault);
  void apply(const CrashFault& fault);
  void apply(const HostFaultSpan& fault);

  /// Moves the log to a new address for the invoker. For `delay` the new address refuses connections or, if
  /// `silent`, accepts them and sends nothing. The old address sends nothing more; 1.5 s later it closes its
  /// connections and refuses new ones. The caller sends SIGHUP. No effect during an outage of the invoker's
  /// log.
  void move_log(int invoker, Millis delay, bool silent);

 private:
  struct LogAccess {
    std::vector<std::unique_ptr<FaultProxy>> proxies;  // one per address, the current one last
    FaultProxy* current = nullptr;
    Millis outage_end{0};  // of the last outage
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  std::function<Millis()> clock_;
  Deployment deployment_;
  std::vector<std::unique_ptr<WorkerHost>> hosts_;
  std::vector<bool> host_busy_;  // draining, stopped or about to restart
  MembershipLog log_;
  std::vector<LogAccess> log_proxies_;

  MemberRow row_of(const WorkerHost& host, MemberState state, bool restarted) const;
  WorkerHost& host(int index) { return *hosts_[static_cast<std::size_t>(index)]; }
  void after(Millis delay, std::function<void()> callback);
  void begin_outage(int invoker, LogFault fault, Millis length);
  void restart_host(int index, bool with_new_id);
};

}  // namespace pathstack::soak

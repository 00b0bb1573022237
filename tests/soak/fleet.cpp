#include "fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "site_settings.h"

namespace pathstack::soak {
namespace {

FaultProxy::Mode mode_of(LogFault fault) {
  switch (fault) {
    case LogFault::refused: return FaultProxy::Mode::refuse;
    case LogFault::truncated: return FaultProxy::Mode::truncate;
    case LogFault::sequence_only: return FaultProxy::Mode::pass;
    case LogFault::closed:
    case LogFault::silent:
    case LogFault::moved: break;
  }
  return FaultProxy::Mode::silent;
}

double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Fleet::Fleet(net::Loop& loop, net::BufferPool& pool, Record& record, std::function<Millis()> clock,
             const Deployment& deployment, std::uint64_t seed)
    : loop_(loop),
      pool_(pool),
      record_(record),
      clock_(std::move(clock)),
      deployment_(deployment),
      host_busy_(static_cast<std::size_t>(deployment.hosts)),
      log_(loop, pool, record, clock_, deployment.invokers,
           [this](const std::string& worker, int invoker) {
             const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                             [&](const auto& host) { return host->has_had_id(worker); });
             return (*found)->address(invoker);
           }),
      log_proxies_(static_cast<std::size_t>(deployment.invokers)) {
  log_.set_sequence_as_object(deployment.sequence_as_object);
  log_.set_sequence_after_request(deployment.sequence_after_request);
  std::vector<MemberRow> rows;
  for (int i = 0; i < deployment.hosts; ++i) {
    hosts_.push_back(std::make_unique<WorkerHost>(loop, pool, record, clock_, "s-" + std::to_string(i),
                                                  zone_name(i % deployment.zones), deployment.invokers,
                                                  deployment.times, seed * 1000 + static_cast<unsigned>(i)));
    rows.push_back(row_of(*hosts_.back(), MemberState::ready, false));
  }
  log_.append(std::move(rows));
  for (int invoker = 0; invoker < deployment.invokers; ++invoker) {
    LogAccess& access = log_proxies_[static_cast<std::size_t>(invoker)];
    access.proxies.push_back(std::make_unique<FaultProxy>(loop, pool, log_.address(invoker)));
    access.current = access.proxies.back().get();
  }
}

MemberRow Fleet::row_of(const WorkerHost& host, MemberState state, bool restarted) const {
  return {host.id(), host.zone(), state, restarted ? unix_ms() : 0};
}

void Fleet::after(Millis delay, std::function<void()> callback) {
  loop_.at(loop_.now() + delay, std::move(callback));
}

void Fleet::apply(const LogOutageFault& fault) {
  for (int invoker = 0; invoker < deployment_.invokers; ++invoker) {
    if (fault.invoker < 0 || fault.invoker == invoker) begin_outage(invoker, fault.fault, fault.length);
  }
}

// Skips an outage that would overlap another one: when its events count as known would depend on which ends
// first.
void Fleet::begin_outage(int invoker, LogFault fault, Millis length) {
  LogAccess& access = log_proxies_[static_cast<std::size_t>(invoker)];
  const Millis now = clock_();
  if (now < access.outage_end) return;
  access.outage_end = now + length;
  record_.outages.push_back({invoker, fault, now, now + length});
  FaultProxy* const proxy = access.current;
  proxy->set_mode(mode_of(fault));
  if (fault == LogFault::closed) proxy->break_connections();
  if (fault == LogFault::sequence_only) log_.set_sequence_only(invoker, true);
  after(length, [this, proxy, invoker] {
    proxy->set_mode(FaultProxy::Mode::pass);
    log_.set_sequence_only(invoker, false);
  });
}

void Fleet::move_log(int invoker, Millis delay, bool silent) {
  constexpr Millis kOldAddressCloseDelay{1500};
  LogAccess& access = log_proxies_[static_cast<std::size_t>(invoker)];
  const Millis now = clock_();
  if (now < access.outage_end) return;
  FaultProxy* const old = access.current;
  access.proxies.push_back(std::make_unique<FaultProxy>(loop_, pool_, log_.address(invoker)));
  access.current = access.proxies.back().get();
  FaultProxy* const current = access.current;
  access.outage_end = now + std::max(delay, kOldAddressCloseDelay);
  record_.outages.push_back({invoker, LogFault::moved, now, access.outage_end});
  old->set_mode(FaultProxy::Mode::silent);
  after(kOldAddressCloseDelay, [old] { old->set_mode(FaultProxy::Mode::refuse); });
  if (delay.count() <= 0) return;
  current->set_mode(silent ? FaultProxy::Mode::silent : FaultProxy::Mode::refuse);
  after(delay, [current] { current->set_mode(FaultProxy::Mode::pass); });
}

void Fleet::apply(const LogDelayFault& fault) {
  record_.delays.push_back({clock_(), clock_() + fault.length, fault.delay});
  for (LogAccess& access : log_proxies_) {
    FaultProxy* const proxy = access.current;
    proxy->set_delay(fault.delay);
    after(fault.length, [proxy] { proxy->set_delay(Millis(0)); });
  }
}

void Fleet::apply(const LogRepeatFault& fault) {
  log_.repeat_events(true);
  after(fault.length, [this] { log_.repeat_events(false); });
}

void Fleet::apply(const ZoneDrainFault& fault) {
  for (int i = fault.zone; i < fault.below; i += deployment_.zones) {
    DrainFault drain = fault.drain;
    drain.host = i;
    apply(drain);
  }
}

void Fleet::apply(const LogBreakFault&) {
  for (LogAccess& access : log_proxies_) access.current->break_connections();
}

void Fleet::apply(const DrainFault& fault) {
  const auto index = static_cast<std::size_t>(fault.host);
  if (host_busy_[index]) return;
  host_busy_[index] = true;
  host(fault.host).drain();
  after(fault.event_delay,
        [this, fault] { log_.append({row_of(host(fault.host), MemberState::draining, false)}); });
  after(fault.stop_after, [this, fault] {
    host(fault.host).stop();
    log_.append({row_of(host(fault.host), MemberState::gone, false)});
  });
  if (fault.restart_after.count() <= 0) return;
  after(fault.stop_after + fault.restart_after,
        [this, fault] { restart_host(fault.host, fault.with_new_id); });
}

void Fleet::apply(const CrashFault& fault) {
  const auto index = static_cast<std::size_t>(fault.host);
  if (host_busy_[index]) return;
  host_busy_[index] = true;
  host(fault.host).stop();
  after(fault.event_delay,
        [this, fault] { log_.append({row_of(host(fault.host), MemberState::gone, false)}); });
  after(fault.event_delay + fault.restart_after, [this, fault] { restart_host(fault.host, false); });
}

void Fleet::restart_host(int index, bool with_new_id) {
  if (with_new_id) host(index).rename(host(index).id() + "b");
  host(index).start();
  log_.append({row_of(host(index), MemberState::ready, true)});
  host_busy_[static_cast<std::size_t>(index)] = false;
}

void Fleet::apply(const HostFaultSpan& fault) {
  WorkerHost* const faulty = &host(fault.host);
  faulty->set_fault(fault.fault);
  after(fault.length, [faulty] { faulty->set_fault(HostFault::none); });
}

}  // namespace pathstack::soak

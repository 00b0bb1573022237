#include "run.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <vector>

#include "fleet.h"
#include "net/loop.h"
#include "site_settings.h"

namespace pathstack::soak {
namespace {

constexpr Millis kReadyWithin{20000};
constexpr Millis kHeartbeat{2};
constexpr Millis kStallThreshold{12};  // a longer time between heartbeats is a stall of the recorder
constexpr std::size_t kBuffers = 16384;

class Run {
 public:
  Run(const Schedule& schedule, const ProgramFiles& files, const volatile bool& stop)
      : schedule_(schedule),
        stop_(stop),
        fleet_(
            loop_, pool_, record_, [this] { return now(); }, schedule.deployment, schedule.seed) {
    record_.rules = rule_settings(schedule.deployment);
    for (int i = 0; i < schedule.deployment.invokers; ++i) {
      slots_.push_back(std::make_unique<InvokerSlot>(
          loop_, pool_, record_, [this] { return now(); }, fleet_, schedule.deployment, files, i,
          schedule.seed * 100 + static_cast<unsigned>(i)));
    }
  }

  Record play() {
    for (const auto& slot : slots_) slot->start();
    const bool ready = run_until(kReadyWithin, [this] {
      return std::all_of(slots_.begin(), slots_.end(), [](const auto& slot) { return slot->is_ready(); });
    });
    if (!ready && !stop_) throw std::runtime_error("an invoker was not ready within 20 s");
    heartbeat();
    const Millis began = now();
    for (const auto& slot : slots_) slot->begin_traffic();
    for (const TimedFault& timed : schedule_.faults) {
      loop_.at(loop_.now() + timed.at,
               [this, fault = timed.fault] { std::visit([this](const auto& f) { apply(f); }, fault); });
    }
    const auto never = [] { return false; };
    run_until(schedule_.length, never);
    for (const auto& slot : slots_) slot->end_traffic();
    const Deployment& d = schedule_.deployment;
    run_until(std::max(d.repeatable_time_limit, d.once_time_limit) + Millis(200), never);
    record_.length = now();
    (void)began;
    return std::move(record_);
  }

 private:
  const Schedule& schedule_;
  const volatile bool& stop_;
  net::Loop loop_;
  net::BufferPool pool_{kBuffers};
  const Millis started_ = loop_.now();
  Record record_;
  Fleet fleet_;
  std::vector<std::unique_ptr<InvokerSlot>> slots_;
  Millis last_heartbeat_{0};

  Millis now() const { return loop_.now() - started_; }

  // Records the times in which this process did not run.
  void heartbeat() {
    const Millis at = now();
    const bool stalled = last_heartbeat_.count() > 0 && at - last_heartbeat_ > kStallThreshold;
    if (stalled) record_.stalls.push_back({last_heartbeat_, at});
    last_heartbeat_ = at;
    loop_.at(loop_.now() + kHeartbeat, [this] { heartbeat(); });
  }

  template <typename Until>
  bool run_until(Millis timeout, const Until& until) {
    const Millis end = loop_.now() + timeout;
    while (!stop_ && !until() && loop_.now() < end) loop_.turn(end, [] {});
    return until();
  }

  InvokerSlot& slot(int invoker) { return *slots_[static_cast<std::size_t>(invoker)]; }

  template <typename FleetFault>
  void apply(const FleetFault& fault) {
    fleet_.apply(fault);
  }
  void apply(const SignalFault& fault) { slot(fault.invoker).apply(fault); }
  void apply(const ClientFault& fault) { slot(fault.invoker).apply(fault); }
  void apply(const ClockStepFault& fault) {
    for (const auto& each : slots_) each->step_wall_clock(fault.by);
  }
  void apply(const SystemCallFault& fault) {
    InvokerSlot* const failing = &slot(fault.invoker);
    failing->fail_system_calls(fault.per_mille);
    loop_.at(loop_.now() + fault.length, [failing] { failing->fail_system_calls(0); });
  }
};

}  // namespace

Record play(const Schedule& schedule, const ProgramFiles& files, const volatile bool& stop) {
  Run run(schedule, files, stop);
  return run.play();
}

}  // namespace pathstack::soak

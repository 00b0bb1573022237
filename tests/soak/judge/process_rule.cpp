#include "judge/process_rule.h"

namespace pathstack::soak {

Violations check_processes(const Record& record) {
  constexpr Millis kReadyWithin{10000};
  Violations violations;
  const auto report = [&](const ProcessLifetime& lifetime, Millis at, const std::string& what,
                          bool depends_on_machine_speed = false) {
    violations.push_back({"process", at, "invoker " + std::to_string(lifetime.invoker) + " " + what,
                          depends_on_machine_speed});
  };
  for (const ProcessLifetime& lifetime : record.process_lifetimes) {
    const Millis due = lifetime.started + kReadyWithin;
    const bool was_ended = lifetime.killed || lifetime.terminated;
    const bool late = lifetime.ready ? *lifetime.ready > due : (!was_ended && record.length > due);
    if (late) report(lifetime, due, "was not ready within 10 s", true);
    if (!lifetime.ended || lifetime.killed) continue;
    if (!lifetime.terminated) report(lifetime, *lifetime.ended, "ended without a signal to end");
    if (lifetime.terminated && lifetime.exit_status != 0)
      report(lifetime, *lifetime.ended, "did not end with status 0");
  }
  return violations;
}

}  // namespace pathstack::soak

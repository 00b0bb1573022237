#include "judge/process_rule.h"

namespace pathstack::soak {

BrokenRules check_processes(const Record& record) {
  constexpr Millis kReadyWithin{10000};
  BrokenRules broken;
  const auto report = [&](const InvokerLife& life, Millis at, const std::string& what, bool pace = false) {
    broken.push_back({"process", at, "invoker " + std::to_string(life.invoker) + " " + what, pace});
  };
  for (const InvokerLife& life : record.lives) {
    const Millis due = life.started + kReadyWithin;
    const bool was_ended = life.killed || life.terminated;
    const bool late = life.ready ? *life.ready > due : (!was_ended && record.length > due);
    if (late) report(life, due, "was not ready in time", true);
    if (!life.ended || life.killed) continue;
    if (!life.terminated) report(life, *life.ended, "ended though nobody told it to");
    if (life.terminated && life.exit_status != 0) report(life, *life.ended, "did not end with status 0");
  }
  return broken;
}

}  // namespace pathstack::soak

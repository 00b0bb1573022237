#include "judge/judge.h"

#include <algorithm>

#include "judge/answer_rule.h"
#include "judge/attempt_rule.h"
#include "judge/drain_rule.h"
#include "judge/load_budget_rule.h"
#include "judge/outage_service_rule.h"
#include "judge/process_rule.h"
#include "judge/resource_rule.h"
#include "judge/service_rule.h"

namespace pathstack::soak {

Violations judge(const Record& record) {
  constexpr Violations (*kRules[])(const Record&) = {check_drains,      check_answers,       check_attempts,
                                                     check_load_budget, check_processes,     check_resources,
                                                     check_service,     check_outage_service};
  Violations all;
  for (const auto rule : kRules) {
    const Violations violations = rule(record);
    all.insert(all.end(), violations.begin(), violations.end());
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Violation& a, const Violation& b) { return a.at < b.at; });
  return all;
}

}  // namespace pathstack::soak

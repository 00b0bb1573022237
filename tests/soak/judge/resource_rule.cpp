#include "judge/resource_rule.h"

namespace pathstack::soak {

Violations check_resources(const Record& record) {
  Violations violations;
  for (const ResourceSample& sample : record.samples) {
    const std::string who = "invoker " + std::to_string(sample.invoker);
    if (sample.memory_mb > record.rules.memory_mb) {
      violations.push_back(
          {"resources", sample.at, who + " uses " + std::to_string(sample.memory_mb) + " MB"});
    }
    if (sample.descriptors > record.rules.descriptors) {
      violations.push_back(
          {"resources", sample.at, who + " has " + std::to_string(sample.descriptors) + " open descriptors"});
    }
  }
  return violations;
}

}  // namespace pathstack::soak

#include "judge/resource_rule.h"

namespace pathstack::soak {

BrokenRules check_resources(const Record& record) {
  BrokenRules broken;
  for (const ResourceSample& sample : record.samples) {
    const std::string who = "invoker " + std::to_string(sample.invoker);
    if (sample.memory_mb > record.rules.memory_mb) {
      broken.push_back({"resources", sample.at, who + " takes " + std::to_string(sample.memory_mb) + " MB"});
    }
    if (sample.descriptors > record.rules.descriptors) {
      broken.push_back(
          {"resources", sample.at, who + " holds " + std::to_string(sample.descriptors) + " descriptors"});
    }
  }
  return broken;
}

}  // namespace pathstack::soak

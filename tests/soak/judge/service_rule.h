// Service goes on: no rule may be kept by refusing everything.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Calls of one second of the run and how many of them were served.
struct ServedWindow {
  int calls = 0, served = 0;
};

/// One entry a second, by the time of sending. Calls whose client left and those of a killed process are left
/// out. Cost: linear in the calls.
std::vector<ServedWindow> served_by_second(const Record& record);

/// Two seconds in a row with calls enough, none of them served, are a break: each schedule leaves a worker
/// that may lawfully be used, and an invoker that runs. So is a share under what the run asks for, in all or
/// in a second with calls enough.
Violations check_service(const Record& record);

}  // namespace pathstack::soak

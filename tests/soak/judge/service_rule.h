/// Rules `service` and `share of service`: an invoker must not satisfy the other rules by refusing all calls.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// Number of calls in one second of the run, and of those served.
struct ServedWindow {
  int calls = 0, served = 0;
};

/// One entry per second of the run, by the time at which calls were sent. Calls that the client cancelled or
/// abandoned are not counted. Cost: linear in the calls.
std::vector<ServedWindow> served_by_second(const Record& record);

/// Reports two consecutive seconds with at least 20 calls of which none was served: every schedule leaves a
/// worker that the rules allow to be used, and a running invoker. Also reports a served share below the
/// minimum of the run, over the whole run or in a second with at least 20 calls.
Violations check_service(const Record& record);

}  // namespace pathstack::soak

/// Runs all rules over the record of a run.
#pragma once

#include "judge/broken_rule.h"
#include "record.h"

namespace pathstack::soak {

/// All violations of the platform's rules in the record, ordered by time.
Violations judge(const Record& record);

}  // namespace pathstack::soak

/// Settings with two classes, for tests that do not need special ones.
#pragma once

#include "core/types.h"

namespace pathstack::test {

using core::Millis;

/// Returns settings with the repeatable class bin-check and the class bin-record, which must not run twice.
inline core::Settings settings() {
  core::Settings s;
  s.classes.resize(2);
  s.classes[0].name = "bin-check";
  s.classes[0].semantics = pathstack::policy::Semantics::repeatable;
  s.classes[1].name = "bin-record";
  for (auto& c : s.classes) c.latency_objective = c.deadline = Millis(1500);
  s.tick = Millis(4);
  s.answer_grace = Millis(16);
  s.drain_grace = Millis(2000);
  s.keep_alive = Millis(9000);
  s.order_timeout = Millis(10000);
  s.connect_timeout = Millis(250);
  s.rejects_on_miss = s.load_orders = s.cancel = s.probes = true;
  s.max_attempts = 4;
  s.retry_after = true;
  s.max_retry_after = Millis(500);
  s.seed = 7;
  return s;
}

}  // namespace pathstack::test

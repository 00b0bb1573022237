/// A valid call for tests with the settings of support/settings.h.
#pragma once

#include <string>

#include "core/types.h"

namespace pathstack::test {

/// Returns a valid call of a repeatable class with reference and body `ref`. `allow` is how long its client
/// waits, from `arrived`; attempts that are sent without the dispatcher need neither.
inline core::Call call_of(const std::string& ref, core::Millis arrived = core::Millis(0),
                          core::Millis allow = core::Millis(0)) {
  core::Call call;
  call.ref = ref;
  call.class_name = "bin-check";
  call.function_name = "00000000000000a1";
  call.function = 0xa1;
  call.memory_mb = 300;
  call.concurrency = 4;
  call.arrived = arrived;
  call.client_timeout = allow;
  call.body = ref;
  return call;
}

}  // namespace pathstack::test

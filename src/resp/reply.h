// The replies of the platform's protocol as RESP arrays. Pure functions: no state, no I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/types.h"

namespace pathstack::resp {

/// The final answer of the call under `tag`: OK with the body, or BUSY or FAILED, with `cooldown=` in whole
/// milliseconds (rounded up) if the answer has one. Cost: the size of the body.
std::string encode_answer(std::string_view tag, const core::Answer& answer);

/// The reply to a health check: DOWN tells the client to send its calls elsewhere. Cost: constant.
std::string encode_health(std::string_view tag, bool draining);

}  // namespace pathstack::resp

/// Encoding of replies to clients as RESP arrays. Pure functions.
#pragma once

#include <string>
#include <string_view>

#include "core/types.h"

namespace pathstack::resp {

/// Encodes the final answer to the call with the given tag: OK and the body, or BUSY (refused) or FAILED. The
/// latter two are followed by `cooldown=` with the time to retry after, in milliseconds rounded up, if that
/// time is positive. Linear in the size of the body.
std::string encode_answer(std::string_view tag, const core::Answer& answer);

/// Encodes the reply to a health check: UP, or DOWN while the invoker is draining. DOWN tells the client to
/// send its calls to another invoker.
std::string encode_health(std::string_view tag, bool draining);

}  // namespace pathstack::resp

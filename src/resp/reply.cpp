#include "resp/reply.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "resp/parser.h"

namespace pathstack::resp {

std::string encode_answer(std::string_view tag, const core::Answer& answer) {
  std::string out;
  if (answer.status == core::CallStatus::served) {
    write_array(out, {tag, "OK", "", answer.body});
    return out;
  }
  const std::string_view status = answer.status == core::CallStatus::refused ? "BUSY" : "FAILED";
  const auto retry_after = static_cast<std::int64_t>(std::ceil(std::max(answer.retry_after.count(), 0.0)));
  if (retry_after > 0) {
    write_array(out, {tag, status, "cooldown=" + std::to_string(retry_after)});
  } else {
    write_array(out, {tag, status});
  }
  return out;
}

std::string encode_health(std::string_view tag, bool draining) {
  std::string out;
  write_array(out, {tag, draining ? "DOWN" : "UP"});
  return out;
}

}  // namespace pathstack::resp

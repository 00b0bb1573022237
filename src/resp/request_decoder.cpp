#include "resp/request_decoder.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "net/fields.h"

namespace pathstack::resp {
namespace {

using net::field;
using net::Fields;

constexpr std::uint64_t kMaxTimeoutMs = std::uint64_t{3600} * 1000;
constexpr std::size_t kClassIndex = 2, kFieldsIndex = 3, kBodyIndex = 4;
// Characters that end a field or the line in the host protocol. The idempotency key is sent to hosts
// unchanged.
constexpr char kFieldTerminators[] = " ,=\r\n";

std::optional<RequestKind> kind_of(const std::string& verb) {
  if (verb == "CALL") return RequestKind::call;
  if (verb == "CANCEL") return RequestKind::cancel;
  if (verb == "CHECK") return RequestKind::check;
  return std::nullopt;
}

bool has_field(const Fields& fields, std::string_view name) { return fields.find(name) != fields.end(); }

std::optional<RequestError> decode_identity(const Fields& fields, core::Call& call) {
  call.ref = field(fields, "ref");
  if (!net::parse_hex16(call.ref)) return RequestError::bad_ref;
  call.function_name = field(fields, "lookup");
  const auto function = net::parse_hex16(call.function_name);
  if (!function) return RequestError::bad_function;
  call.function = *function;
  call.idempotency_key = field(fields, "replay");
  const bool has_terminator = call.idempotency_key.find_first_of(kFieldTerminators) != std::string::npos;
  if (has_terminator) return RequestError::bad_idempotency_key;
  call.tenant = field(fields, "project");
  call.retry = field(fields, "dup") == "1";
  return std::nullopt;
}

std::optional<RequestError> decode_numbers(const Fields& fields, core::Call& call) {
  const auto timeout = net::parse_whole(field(fields, "allow"), kMaxTimeoutMs);
  if (!timeout) return RequestError::bad_timeout;
  call.client_timeout = core::Millis(static_cast<double>(*timeout));
  call.cost_hint = net::parse_number(field(fields, "effort"));
  if (!call.cost_hint && has_field(fields, "effort")) return RequestError::bad_effort;
  return std::nullopt;
}

std::optional<RequestError> decode_resources(const std::string& text, core::Call& call) {
  const auto resources = net::parse_fields(text, ';', ':');
  if (!resources) return RequestError::bad_resources;
  const auto memory = net::parse_number(field(*resources, "memory_mb"));
  if (!memory && has_field(*resources, "memory_mb")) return RequestError::bad_resources;
  const auto slots = net::parse_whole(field(*resources, "lanes"), INT32_MAX);
  if (!slots && has_field(*resources, "lanes")) return RequestError::bad_resources;
  call.memory_mb = memory.value_or(0);
  call.concurrency = static_cast<int>(slots.value_or(1));
  return std::nullopt;
}

}  // namespace

std::variant<RequestHeader, RequestError> decode_header(const Words& words) {
  if (words.size() < 2) return RequestError::bad_tag;
  const auto tag = net::parse_whole(words[1], UINT64_MAX);
  if (!tag || *tag == 0) return RequestError::bad_tag;
  const auto kind = kind_of(words[0]);
  if (!kind) return RequestError::unknown_verb;
  return RequestHeader{*kind, words[1]};
}

std::variant<core::Call, RequestError> decode_call(Words& words) {
  if (words.size() <= kFieldsIndex || words.size() > kBodyIndex + 1) return RequestError::wrong_word_count;
  const auto fields = net::parse_fields(words[kFieldsIndex]);
  if (!fields) return RequestError::bad_field_list;
  core::Call call;
  call.class_name = words[kClassIndex];
  if (const auto error = decode_identity(*fields, call)) return *error;
  if (const auto error = decode_numbers(*fields, call)) return *error;
  if (const auto error = decode_resources(field(*fields, "spec"), call)) return *error;
  if (words.size() > kBodyIndex) call.body = std::move(words[kBodyIndex]);
  return call;
}

}  // namespace pathstack::resp

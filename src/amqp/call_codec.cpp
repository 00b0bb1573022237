#include "amqp/call_codec.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <variant>

#include "net/fields.h"

namespace pathstack::amqp {
namespace {

// Headers of a call.
constexpr const char* kClassHeader = "class";
constexpr const char* kTenantHeader = "project";
constexpr const char* kFunctionHeader = "lookup";    // 16 hex digits
constexpr const char* kCostHintHeader = "effort";    // the client's estimate of the work
constexpr const char* kMemoryHeader = "memory_mb";   // memory of one instance of the function
constexpr const char* kConcurrencyHeader = "lanes";  // concurrency slots of an instance
constexpr const char* kTimeoutHeader = "allow";      // milliseconds

// Headers of an answer.
constexpr const char* kStatusHeader = "word";
constexpr const char* kRetryAfterHeader = "cooldown";  // milliseconds

constexpr std::uint64_t kMaxTimeoutMs = std::uint64_t{3600} * 1000;
constexpr std::uint8_t kPersistent = 2;  // delivery mode of a message that survives a broker restart

/// First character of a key that is derived from the reply address of a message without a message id.
constexpr char kDerivedKeyPrefix = '\n';
constexpr char kEscapedIdPrefix = '\r';  // prepended to a message id that begins with either prefix

/// Returns a string header, or a numeric header in decimal notation. Empty if the header is absent or of
/// another type.
std::string header_text(const FieldTable& headers, const char* name) {
  const auto found = headers.find(name);
  if (found == headers.end()) return {};
  if (const auto* text = std::get_if<std::string>(&found->second)) return *text;
  if (const auto* whole = std::get_if<std::int64_t>(&found->second)) return std::to_string(*whole);
  if (const auto* real = std::get_if<double>(&found->second)) return std::to_string(*real);
  return {};
}

const policy::ClassSettings* find_class(const core::Settings& settings, const std::string& name) {
  for (const auto& settings_of_class : settings.classes) {
    if (settings_of_class.name == name) return &settings_of_class;
  }
  return nullptr;
}

const char* status_text(core::CallStatus status) {
  switch (status) {
    case core::CallStatus::served: return "OK";
    case core::CallStatus::refused: return "BUSY";
    case core::CallStatus::failed: break;
  }
  return "FAILED";
}

/// The optional numeric headers of a call. An absent header leaves its default.
struct NumericHeaders {
  std::optional<core::Millis> timeout;
  double memory_mb = 0;
  int concurrency = 1;
};

/// Returns nothing if a header is present but is not a number within its range.
std::optional<NumericHeaders> read_numeric_headers(const FieldTable& headers) {
  NumericHeaders numbers;
  if (const std::string text = header_text(headers, kTimeoutHeader); !text.empty()) {
    const auto timeout_ms = net::parse_whole(text, kMaxTimeoutMs);
    if (!timeout_ms) return std::nullopt;
    numbers.timeout = core::Millis(static_cast<double>(*timeout_ms));
  }
  if (const std::string text = header_text(headers, kMemoryHeader); !text.empty()) {
    const auto megabytes = net::parse_number(text);
    if (!megabytes) return std::nullopt;
    numbers.memory_mb = *megabytes;
  }
  if (const std::string text = header_text(headers, kConcurrencyHeader); !text.empty()) {
    const auto concurrency = net::parse_whole(text, INT32_MAX);
    if (!concurrency) return std::nullopt;
    numbers.concurrency = static_cast<int>(*concurrency);
  }
  return numbers;
}

}  // namespace

std::optional<ReplyAddress> reply_address(const BasicProperties& properties) {
  const std::string& correlation_id =
      properties.correlation_id.empty() ? properties.message_id : properties.correlation_id;
  if (properties.reply_to.empty() || correlation_id.empty()) return std::nullopt;
  return ReplyAddress{properties.reply_to, correlation_id};
}

CallKey call_key(const BasicProperties& properties) {
  const std::string& id = properties.message_id;
  const bool needs_escape =
      !id.empty() && (id.front() == kDerivedKeyPrefix || id.front() == kEscapedIdPrefix);
  if (needs_escape) return kEscapedIdPrefix + id;
  if (!id.empty()) return id;
  return kDerivedKeyPrefix + properties.reply_to + kDerivedKeyPrefix + properties.correlation_id;
}

std::optional<DecodedCall> decode_call(const Delivery& delivery, const core::Settings& settings,
                                       core::Millis arrived) {
  const FieldTable& headers = delivery.properties.headers;
  if (delivery.oversized || delivery.properties.message_id.empty()) return std::nullopt;
  const auto* class_settings = find_class(settings, header_text(headers, kClassHeader));
  if (class_settings == nullptr) return std::nullopt;
  const std::string function_name = header_text(headers, kFunctionHeader);
  const auto function = net::parse_hex16(function_name);
  if (!function) return std::nullopt;
  const auto numbers = read_numeric_headers(headers);
  if (!numbers) return std::nullopt;
  DecodedCall decoded;
  decoded.at_most_once = class_settings->semantics == policy::Semantics::once;
  core::Call& call = decoded.call;
  call.class_name = class_settings->name;
  call.tenant = header_text(headers, kTenantHeader);
  call.function = *function;
  call.function_name = function_name;
  call.cost_hint = net::parse_number(header_text(headers, kCostHintHeader));
  call.memory_mb = numbers->memory_mb;
  call.concurrency = numbers->concurrency;
  call.arrived = arrived;
  call.client_timeout = numbers->timeout.value_or(class_settings->deadline);
  return decoded;
}

BasicProperties encode_answer(const core::Answer& answer, const CallKey& key, const ReplyAddress& address) {
  BasicProperties properties;
  properties.content_type = "application/octet-stream";
  properties.correlation_id = address.correlation_id;
  const bool has_message_id = key.front() != kDerivedKeyPrefix;
  const bool is_escaped = key.front() == kEscapedIdPrefix;
  if (has_message_id) properties.message_id = is_escaped ? key.substr(1) : key;
  properties.delivery_mode = kPersistent;
  properties.headers[kStatusHeader] = std::string(status_text(answer.status));
  if (answer.retry_after.count() > 0) {
    properties.headers[kRetryAfterHeader] = static_cast<std::int64_t>(std::ceil(answer.retry_after.count()));
  }
  return properties;
}

}  // namespace pathstack::amqp

/// Decoding of client requests: from the words of a RESP array to `core::Call`. Pure functions.
#pragma once

#include <string>
#include <variant>

#include "core/types.h"
#include "resp/parser.h"

namespace pathstack::resp {

/// Why a request is invalid.
enum class RequestError {
  bad_tag,              // missing, zero, not a number, or over 18 digits: no reply could refer to it
  unknown_verb,         // neither CALL, CANCEL nor CHECK
  wrong_word_count,     // a CALL without class or fields, or with words after the body
  bad_field_list,       // not a list of name=value pairs, or a name is repeated
  bad_ref,              // not 16 hexadecimal digits
  bad_function,         // not 16 hexadecimal digits
  bad_timeout,          // missing, not a decimal number, or over an hour
  bad_resources,        // not a list of name:value pairs, or a value is not a number
  bad_idempotency_key,  // contains a character that would end the field in the host protocol
  bad_effort,           // present, but not a number
};

/// The verb of a request.
enum class RequestKind { call, cancel, check };

/// The parts that all requests have.
struct RequestHeader {
  RequestKind kind;
  std::string tag;  // as the client wrote it; replies contain it unchanged
};

/// Decodes the kind and tag of a request. Returns `bad_tag` or `unknown_verb` on failure; `bad_tag` takes
/// precedence.
std::variant<RequestHeader, RequestError> decode_header(const Words& words);

/// Decodes a CALL request whose header has been decoded. Moves the body out of `words`; `words` is unchanged
/// on an error. The caller must set `arrived`. Whether the values are usable is left
/// for the dispatcher to check. Linear in the size of the field list.
std::variant<core::Call, RequestError> decode_call(Words& words);

}  // namespace pathstack::resp

// Requests of the platform's protocol, from the words of a RESP array to core::Call. Pure functions: no
// state, no I/O. Called by the front on the loop's thread.
#pragma once

#include <string>
#include <variant>

#include "core/types.h"
#include "resp/parser.h"

namespace pathstack::resp {

/// Why a request cannot be understood.
enum class RequestError {
  bad_tag,           // missing, zero, over 18 digits or no number: no reply could be matched to the request
  unknown_verb,      // neither CALL, CANCEL nor CHECK
  wrong_word_count,  // a CALL without class or fields, or with words behind the body
  bad_field_list,    // not a list of name=value, or a name occurs twice
  bad_ref,           // not 16 hexadecimal digits
  bad_function,      // not 16 hexadecimal digits
  bad_timeout,       // missing, not a decimal number, or over an hour
  bad_resources,     // not a list of name:value, or a figure that is no number
  bad_idempotency_key,  // holds a character that would end the field on a worker's connection
  bad_effort,           // present, but no number
};

enum class RequestKind { call, cancel, check };

/// What all requests have in common.
struct RequestHeader {
  RequestKind kind;
  std::string tag;  // as the client wrote it; replies repeat it unchanged
};

/// The kind and tag of a request; `bad_tag` or `unknown_verb` if it has none. A bad tag takes precedence.
std::variant<RequestHeader, RequestError> decode_header(const Words& words);

/// The call of a CALL request whose header was decoded; the body is moved out of `words`, which stays as it
/// is on an error. `arrived` is left for the caller to set. Whether the figures can be used is for the
/// dispatcher to decide. Cost: the size of the field list.
std::variant<core::Call, RequestError> decode_call(Words& words);

}  // namespace pathstack::resp

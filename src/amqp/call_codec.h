/// Translation between AMQP messages and the core's calls and answers. The header names and status values are
/// defined in call_codec.cpp only.
#pragma once

#include <optional>

#include "amqp/content_assembler.h"
#include "amqp/content_header.h"
#include "amqp/idempotency_cache.h"
#include "core/types.h"

namespace pathstack::amqp {

/// A call decoded from a delivery. `call.ref` and `call.body` are left empty for the caller to set.
struct DecodedCall {
  core::Call call;
  bool at_most_once = false;  // the call's class must not run twice
};

/// Returns the address for the answer to a message. The correlation id defaults to the message id. Returns
/// nothing if the message has no reply-to queue, or neither a correlation id nor a message id.
std::optional<ReplyAddress> reply_address(const BasicProperties& properties);

/// Returns the key that identifies the requested call: the message id, or the reply address if the message
/// has no message id. `reply_address` must return an address for the message.
CallKey call_key(const BasicProperties& properties);

/// Decodes a delivery into a call with arrival time `arrived`. Returns nothing if the delivery is oversized,
/// has no message id, names an unknown class or no valid function, or has a malformed or out-of-range number
/// in a header. Linear in the number of classes.
std::optional<DecodedCall> decode_call(const Delivery& delivery, const core::Settings& settings,
                                       core::Millis arrived);

/// Returns the properties of the message that carries `answer` to `address`.
BasicProperties encode_answer(const core::Answer& answer, const CallKey& key, const ReplyAddress& address);

}  // namespace pathstack::amqp

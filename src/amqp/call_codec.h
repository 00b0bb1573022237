// Translation between broker messages and the core's calls and answers. The names of headers and their words
// stand in the .cpp file alone.
#pragma once

#include <optional>

#include "amqp/content_assembler.h"
#include "amqp/content_header.h"
#include "amqp/idempotency_cache.h"
#include "core/types.h"

namespace pathstack::amqp {

/// A call as a delivery asks for it, with what its class says of running it again. The reference and the body
/// are the caller's to fill in.
struct DecodedCall {
  core::Call call;
  bool at_most_once = false;
};

/// Where the answer to a message goes; nothing if the message cannot be answered, as it names no queue or
/// neither a correlation id nor a message id.
std::optional<ReplyAddress> reply_address(const BasicProperties& properties);

/// The key of the call that a message asks for: its message id, or where it has none, the address of its
/// answer. Expects a message that can be answered.
CallKey call_key(const BasicProperties& properties);

/// Reads a delivery as a call that arrived at `arrived`; nothing if it is oversized, without a message id, of
/// an unknown class, without a function, or has a number that cannot be read. Cost: the number of classes.
std::optional<DecodedCall> decode_call(const Delivery& delivery, const core::Settings& settings,
                                       core::Millis arrived);

/// The properties of the message that brings `answer` to `address`.
BasicProperties encode_answer(const core::Answer& answer, const CallKey& key, const ReplyAddress& address);

}  // namespace pathstack::amqp

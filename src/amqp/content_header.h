/// Encoding of the content header of class basic (AMQP 0-9-1, 2.3.5.2): body size and message properties.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amqp/field_codec.h"

namespace pathstack::amqp {

/// The message properties that this client uses, named as in the specification. An empty value means that the
/// property is absent.
struct BasicProperties {
  std::string content_type, correlation_id, reply_to, expiration, message_id;
  std::uint8_t delivery_mode = 0;  // 1: transient, 2: persistent, 0: absent
  FieldTable headers;
};

/// A decoded content header.
struct ContentHeader {
  std::uint64_t body_size = 0;  // octets, total of all body frames
  BasicProperties properties;
};

/// Returns the payload of a header frame. Short strings are truncated to 255 octets.
std::string encode_content_header(std::uint64_t body_size, const BasicProperties& properties);

/// Decodes the payload of a header frame. Returns nothing if the payload is malformed or not of class basic.
/// Properties after the message id (timestamp, type, user id, application id) are ignored.
std::optional<ContentHeader> decode_content_header(std::string_view payload);

}  // namespace pathstack::amqp

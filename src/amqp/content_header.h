// The content header of class basic (AMQP 0-9-1, 2.3.5.2): the size of a message's body and its properties.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amqp/field_codec.h"

namespace pathstack::amqp {

/// The properties of a message that this client uses, under the specification's names. Empty: not present.
struct BasicProperties {
  std::string content_type, correlation_id, reply_to, expiration, message_id;
  std::uint8_t delivery_mode = 0;  // 1: transient, 2: persistent, 0: not present
  FieldTable headers;
};

/// A content header as it was read.
struct ContentHeader {
  std::uint64_t body_size = 0;  // in octets, over all body frames
  BasicProperties properties;
};

/// The payload of a header frame. Short strings are cut to 255 octets.
std::string encode_content_header(std::uint64_t body_size, const BasicProperties& properties);

/// Reads the payload of a header frame; nothing if it is malformed or not of class basic. Properties after
/// the message id (timestamp, type, user id, application id) are not read.
std::optional<ContentHeader> decode_content_header(std::string_view payload);

}  // namespace pathstack::amqp

#include "amqp/content_header.h"

#include <utility>

namespace pathstack::amqp {
namespace {

constexpr std::uint16_t kBasicClassId = 60;
constexpr std::uint16_t kWeight = 0;  // reserved, always 0

/// Property flags, in the order in which the properties are encoded.
enum PropertyFlag : std::uint16_t {
  content_type_flag = 1 << 15,
  content_encoding_flag = 1 << 14,
  headers_flag = 1 << 13,
  delivery_mode_flag = 1 << 12,
  priority_flag = 1 << 11,
  correlation_id_flag = 1 << 10,
  reply_to_flag = 1 << 9,
  expiration_flag = 1 << 8,
  message_id_flag = 1 << 7,
  more_flags_flag = 1  // another flags word follows; class basic uses a single one
};

/// Encodes the properties that are present and collects their flags.
class PropertyListWriter {
 public:
  void short_string(PropertyFlag flag, const std::string& value) {
    if (value.empty()) return;
    set(flag);
    values_.short_string(value);
  }
  void octet(PropertyFlag flag, std::uint8_t value) {
    if (value == 0) return;
    set(flag);
    values_.u8(value);
  }
  void table(PropertyFlag flag, const FieldTable& value) {
    if (value.empty()) return;
    set(flag);
    values_.table(value);
  }
  std::uint16_t flags() const { return flags_; }
  const std::string& values() const { return values_.bytes(); }

 private:
  std::uint16_t flags_ = 0;
  ArgumentWriter values_;

  void set(PropertyFlag flag) { flags_ = static_cast<std::uint16_t>(flags_ | flag); }
};

BasicProperties read_properties(ArgumentReader& in, std::uint16_t flags) {
  BasicProperties properties;
  if ((flags & content_type_flag) != 0) properties.content_type = in.short_string();
  if ((flags & content_encoding_flag) != 0) in.short_string();
  if ((flags & headers_flag) != 0) properties.headers = in.table();
  if ((flags & delivery_mode_flag) != 0) properties.delivery_mode = in.u8();
  if ((flags & priority_flag) != 0) in.u8();
  if ((flags & correlation_id_flag) != 0) properties.correlation_id = in.short_string();
  if ((flags & reply_to_flag) != 0) properties.reply_to = in.short_string();
  if ((flags & expiration_flag) != 0) properties.expiration = in.short_string();
  if ((flags & message_id_flag) != 0) properties.message_id = in.short_string();
  return properties;
}

}  // namespace

std::string encode_content_header(std::uint64_t body_size, const BasicProperties& properties) {
  PropertyListWriter list;
  list.short_string(content_type_flag, properties.content_type);
  list.table(headers_flag, properties.headers);
  list.octet(delivery_mode_flag, properties.delivery_mode);
  list.short_string(correlation_id_flag, properties.correlation_id);
  list.short_string(reply_to_flag, properties.reply_to);
  list.short_string(expiration_flag, properties.expiration);
  list.short_string(message_id_flag, properties.message_id);
  ArgumentWriter out;
  out.u16(kBasicClassId).u16(kWeight).u64(body_size).u16(list.flags());
  return out.bytes() + list.values();
}

std::optional<ContentHeader> decode_content_header(std::string_view payload) {
  ArgumentReader in(payload);
  const bool is_basic = in.u16() == kBasicClassId;
  in.u16();  // weight
  ContentHeader header;
  header.body_size = in.u64();
  const std::uint16_t flags = in.u16();
  header.properties = read_properties(in, flags);
  const bool has_more_flags = (flags & more_flags_flag) != 0;
  if (!is_basic || !in.ok() || has_more_flags) return std::nullopt;
  return header;
}

}  // namespace pathstack::amqp

#include "amqp/field_codec.h"

#include <cstring>
#include <utility>

namespace pathstack::amqp {
namespace {

constexpr std::size_t kMaxShortString = 255;
constexpr int kMaxNesting = 4;  // of tables and arrays, so that a broker cannot exhaust the stack
constexpr std::size_t kTimestampSize = 8;
constexpr std::size_t kDecimalSize = 5;  // one octet of scale, four of value

/// Writes the type octet of a field value, then the value.
struct FieldValueWriter {
  ArgumentWriter& out;

  void operator()(std::monostate) const { out.u8('V'); }
  void operator()(bool flag) const { out.u8('t').u8(flag ? 1 : 0); }
  void operator()(std::int64_t whole) const { out.u8('l').u64(static_cast<std::uint64_t>(whole)); }
  void operator()(double real) const {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &real, sizeof bits);
    out.u8('d').u64(bits);
  }
  void operator()(const std::string& text) const { out.u8('S').long_string(text); }
};

template <typename Integer>
FieldValue integer_value(Integer value) {
  return static_cast<std::int64_t>(value);
}

}  // namespace

ArgumentWriter& ArgumentWriter::number(std::uint64_t value, int octets) {
  for (int i = octets - 1; i >= 0; --i) bytes_ += static_cast<char>(value >> (8 * i) & 0xFF);
  return *this;
}

ArgumentWriter& ArgumentWriter::short_string(std::string_view text) {
  text = text.substr(0, kMaxShortString);
  u8(text.size());
  bytes_ += text;
  return *this;
}

ArgumentWriter& ArgumentWriter::long_string(std::string_view text) {
  u32(text.size());
  bytes_ += text;
  return *this;
}

ArgumentWriter& ArgumentWriter::table(const FieldTable& fields) {
  ArgumentWriter items;
  for (const auto& [name, value] : fields) {
    items.short_string(name);
    std::visit(FieldValueWriter{items}, value);
  }
  return long_string(items.bytes());
}

std::uint64_t ArgumentReader::number(int octets) {
  std::uint64_t value = 0;
  for (const char octet : take(static_cast<std::size_t>(octets))) {
    value = value << 8 | static_cast<std::uint8_t>(octet);
  }
  return value;
}

std::string_view ArgumentReader::take(std::size_t octets) {
  if (!ok_ || octets > remaining_.size()) {
    ok_ = false;
    remaining_ = {};
    return {};
  }
  const std::string_view part = remaining_.substr(0, octets);
  remaining_.remove_prefix(octets);
  return part;
}

float ArgumentReader::real32() {
  const std::uint32_t bits = u32();
  float real = 0;
  std::memcpy(&real, &bits, sizeof real);
  return real;
}

double ArgumentReader::real64() {
  const std::uint64_t bits = u64();
  double real = 0;
  std::memcpy(&real, &bits, sizeof real);
  return real;
}

FieldValue ArgumentReader::field_value(int depth) {
  switch (u8()) {
    case 't': return u8() != 0;
    case 'b': return integer_value(static_cast<std::int8_t>(u8()));
    case 'B': return integer_value(u8());
    case 'U':
    case 's': return integer_value(static_cast<std::int16_t>(u16()));
    case 'u': return integer_value(u16());
    case 'I': return integer_value(static_cast<std::int32_t>(u32()));
    case 'i': return integer_value(u32());
    case 'L':
    case 'l': return integer_value(u64());
    case 'T': return skip_value(kTimestampSize);
    case 'f': return static_cast<double>(real32());
    case 'd': return real64();
    case 'D': return skip_value(kDecimalSize);
    case 'S': return long_string();
    case 'x': return skip_value(u32());
    case 'A': return skip_items(false, depth);
    case 'F': return skip_items(true, depth);
    case 'V': return {};
    default: ok_ = false; return {};
  }
}

FieldValue ArgumentReader::skip_value(std::size_t octets) {
  take(octets);
  return {};
}

FieldValue ArgumentReader::skip_items(bool named, int depth) {
  ArgumentReader inner(take(u32()));
  if (depth >= kMaxNesting) inner.ok_ = false;
  while (inner.ok_ && !inner.remaining_.empty()) {
    if (named) inner.short_string();
    inner.field_value(depth + 1);
  }
  ok_ = ok_ && inner.ok_;
  return {};
}

FieldTable ArgumentReader::table() {
  ArgumentReader inner(take(u32()));
  FieldTable fields;
  while (inner.ok_ && !inner.remaining_.empty()) {
    std::string name = inner.short_string();
    fields[std::move(name)] = inner.field_value(0);
  }
  ok_ = ok_ && inner.ok_;
  return fields;
}

}  // namespace pathstack::amqp

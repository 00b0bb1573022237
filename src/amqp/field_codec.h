/// Encoding of the data types of AMQP methods and properties (AMQP 0-9-1, 4.2.5): integers in network byte
/// order, short and long strings, field tables.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace pathstack::amqp {

/// A value of a field table. Nested tables, arrays, timestamps, decimals and byte arrays are skipped and read
/// as monostate.
using FieldValue = std::variant<std::monostate, bool, std::int64_t, double, std::string>;

/// A field table, keyed by field name.
using FieldTable = std::map<std::string, FieldValue>;

/// Appends values in their wire encoding. Calls can be chained. Linear in the bytes written.
class ArgumentWriter {
 public:
  /// u8 to u64 write the low bits of `value` in network byte order.
  ArgumentWriter& u8(std::uint64_t value) { return number(value, 1); }
  ArgumentWriter& u16(std::uint64_t value) { return number(value, 2); }
  ArgumentWriter& u32(std::uint64_t value) { return number(value, 4); }
  ArgumentWriter& u64(std::uint64_t value) { return number(value, 8); }
  /// Truncates `text` to 255 octets, the limit of a short string.
  ArgumentWriter& short_string(std::string_view text);
  ArgumentWriter& long_string(std::string_view text);
  ArgumentWriter& table(const FieldTable& fields);
  /// Everything written so far.
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;

  ArgumentWriter& number(std::uint64_t value, int octets);
};

/// Reads values from their wire encoding. The bytes must outlive the reader. Reading past the end or a field
/// of unknown type returns an empty value, and so does every later read; check `ok` before using the values.
/// Linear in the bytes read.
class ArgumentReader {
 public:
  explicit ArgumentReader(std::string_view bytes) : remaining_(bytes) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  std::string short_string() { return std::string(take(u8())); }
  std::string long_string() { return std::string(take(u32())); }
  FieldTable table();
  /// False once a read has failed.
  bool ok() const { return ok_; }

 private:
  std::string_view remaining_;
  bool ok_ = true;

  std::uint64_t number(int octets);
  std::string_view take(std::size_t octets);
  float real32();
  double real64();
  FieldValue field_value(int depth);
  FieldValue skip_value(std::size_t octets);
  FieldValue skip_items(bool named, int depth);
};

}  // namespace pathstack::amqp

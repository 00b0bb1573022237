#include "net/fields.h"

#include <cmath>
#include <cstdlib>

namespace pathstack::net {
namespace {

constexpr std::size_t kMaxDecimalDigits = 18;  // more digits could overflow 64 bits
constexpr std::size_t kHexDigits = 16;

std::optional<std::uint64_t> hex_digit(char c) {
  if (c >= '0' && c <= '9') return static_cast<std::uint64_t>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<std::uint64_t>(c - 'a') + 10;
  return std::nullopt;
}

}  // namespace

std::optional<Fields> parse_fields(std::string_view text, char separator, char assign) {
  Fields fields;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(separator));
    text.remove_prefix(item.size() == text.size() ? item.size() : item.size() + 1);
    const auto at = item.find(assign);
    if (at == std::string_view::npos || at == 0) return std::nullopt;
    const bool is_new = fields.emplace(item.substr(0, at), item.substr(at + 1)).second;
    if (!is_new) return std::nullopt;
  }
  return fields;
}

const std::string& field(const Fields& fields, std::string_view name) {
  static const std::string kNone;
  const auto found = fields.find(name);
  return found == fields.end() ? kNone : found->second;
}

std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t max) {
  if (digits.empty() || digits.size() > kMaxDecimalDigits) return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : digits) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + static_cast<std::uint64_t>(c - '0');
  }
  if (value > max) return std::nullopt;
  return value;
}

std::optional<std::uint64_t> parse_hex16(std::string_view digits) {
  if (digits.size() != kHexDigits) return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : digits) {
    const auto digit = hex_digit(c);
    if (!digit) return std::nullopt;
    value = value << 4 | *digit;
  }
  return value;
}

std::optional<double> parse_number(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string hex16(std::uint64_t value) {
  std::string out(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i-- > 0; value >>= 4) out[i] = "0123456789abcdef"[value & 15];
  return out;
}

}  // namespace pathstack::net

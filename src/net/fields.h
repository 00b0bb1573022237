// The field lists that the platform's protocols share, name=value,name=value or name:value;name:value, and
// the numbers in them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pathstack::net {

/// Values by name.
using Fields = std::map<std::string, std::string, std::less<>>;

/// Reads a list whose items are divided by `between`, and names from values by the first `sign`. Nothing if
/// an item has no name or no sign, or if a name occurs twice. Cost: n log n in the number of items.
std::optional<Fields> parse_fields(std::string_view text, char separator = ',', char assign = '=');

/// The value of a name; empty if the list has none.
const std::string& field(const Fields& fields, std::string_view name);

/// A whole number of 1 to 18 decimal digits, at most `most`.
std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t max);

/// A number of exactly 16 lower-case hexadecimal digits.
std::optional<std::uint64_t> parse_hex16(std::string_view digits);

/// A finite number, in the notation of strtod(3).
std::optional<double> parse_number(const std::string& text);

/// 16 lower-case hexadecimal digits.
std::string hex16(std::uint64_t value);

}  // namespace pathstack::net

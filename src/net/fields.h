/// Parsers for the field lists that the protocols of the platform share, as in name=value,name=value or
/// name:value;name:value, and for the numbers in them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pathstack::net {

/// Values by name.
using Fields = std::map<std::string, std::string, std::less<>>;

/// Parses a list of items separated by `separator`. The first `assign` of an item separates its name from its
/// value. Returns nothing if an item has no name or no `assign`, or if a name occurs twice. Cost: O(n log n)
/// in the number of items.
std::optional<Fields> parse_fields(std::string_view text, char separator = ',', char assign = '=');

/// The value of `name`; an empty string if the list does not contain it.
const std::string& field(const Fields& fields, std::string_view name);

/// Parses a whole number of 1 to 18 decimal digits that is at most `max`.
std::optional<std::uint64_t> parse_whole(std::string_view digits, std::uint64_t max);

/// Parses a number of exactly 16 lower-case hexadecimal digits.
std::optional<std::uint64_t> parse_hex16(std::string_view digits);

/// Parses a finite number in the notation of strtod(3).
std::optional<double> parse_number(const std::string& text);

/// Formats `value` as 16 lower-case hexadecimal digits.
std::string hex16(std::uint64_t value);

}  // namespace pathstack::net

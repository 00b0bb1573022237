/// Lenient readers of JSON values: a value that is absent or of another type reads as the stated default.
/// config/value_checks.h has the strict readers.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"

namespace pathstack::config {

using nlohmann::json;
using pathstack::Millis;

/// The null value, which represents an absent value.
inline const json& absent() {
  static const json kNull;
  return kNull;
}

/// Returns the element at `index` of an array, or null if the array is shorter.
inline const json& at(const json& row, std::size_t index) {
  return index < row.size() ? row[index] : absent();
}

/// Returns the value of a key, or null if the key is absent or `object` is not an object. Cost: logarithmic
/// in the number of keys.
inline const json& key(const json& object, const char* name) {
  if (!object.is_object()) return absent();
  const auto found = object.find(name);
  return found == object.end() ? absent() : *found;
}

/// Returns a finite number; `missing` for any other value.
inline double number(const json& value, double missing = 0) {
  if (!value.is_number()) return missing;
  const double read = value.get<double>();
  return std::isfinite(read) ? read : missing;
}

/// `integer` clamps to this magnitude, so that the sum of two results does not overflow an int.
constexpr double kMaxInteger = 1e9;

/// Returns a number without its fraction, clamped to -kMaxInteger..kMaxInteger.
inline int integer(const json& value, int missing = 0) {
  const double read = number(value, missing);
  return static_cast<int>(std::min(std::max(read, -kMaxInteger), kMaxInteger));
}

/// Returns a 64-bit integer; 0 for any other value. A negative integer wraps around.
inline std::uint64_t uint64(const json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  return value.is_number_integer() ? static_cast<std::uint64_t>(value.get<std::int64_t>()) : 0;
}

/// Returns a boolean, or whether a number differs from 0; false for any other value.
inline bool boolean(const json& value) { return value.is_boolean() ? value.get<bool>() : number(value) != 0; }

/// Returns a string, or the decimal digits of an integer; empty for any other value.
inline std::string text(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.is_number_integer() ? value.dump() : std::string();
}

/// Returns a duration given in milliseconds; `missing` for a value that is not a finite number.
inline Millis millis(const json& value, double missing = 0) { return Millis(number(value, missing)); }

/// Maps a word to an enum value; `otherwise` for an unknown word.
template <typename T>
T enum_value(const std::string& name, const std::map<std::string, T>& words, T otherwise) {
  const auto found = words.find(name);
  return found == words.end() ? otherwise : found->second;
}

}  // namespace pathstack::config

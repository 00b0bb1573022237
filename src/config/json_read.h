// Lenient readers of JSON values: what is absent or of another type reads as the stated default. For values
// that must be of their kind see config/value_checks.h.
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

/// The null value, which stands for what is absent.
inline const json& absent() {
  static const json kNull;
  return kNull;
}

/// The value at `index` of an array; null if there is none.
inline const json& at(const json& row, std::size_t index) {
  return index < row.size() ? row[index] : absent();
}

/// The value of a key; null if there is none, or if `object` is none. Cost: logarithmic in the keys.
inline const json& key(const json& object, const char* name) {
  if (!object.is_object()) return absent();
  const auto found = object.find(name);
  return found == object.end() ? absent() : *found;
}

/// A finite number.
inline double number(const json& value, double missing = 0) {
  if (!value.is_number()) return missing;
  const double read = value.get<double>();
  return std::isfinite(read) ? read : missing;
}

/// The bound of `integer`, either way: within the range of an int, with room for sums of two.
constexpr double kMaxInteger = 1e9;

/// A number with its fraction cut off, brought within the bound.
inline int integer(const json& value, int missing = 0) {
  const double read = number(value, missing);
  return static_cast<int>(std::min(std::max(read, -kMaxInteger), kMaxInteger));
}

/// A whole number of 64 bits; 0 if it is none.
inline std::uint64_t uint64(const json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  return value.is_number_integer() ? static_cast<std::uint64_t>(value.get<std::int64_t>()) : 0;
}

/// A truth value, or a number other than 0.
inline bool boolean(const json& value) { return value.is_boolean() ? value.get<bool>() : number(value) != 0; }

/// A text, or the digits of a whole number; empty for anything else.
inline std::string text(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.is_number_integer() ? value.dump() : std::string();
}

/// A number of milliseconds.
inline Millis millis(const json& value, double missing = 0) { return Millis(number(value, missing)); }

/// The value that a word stands for.
template <typename T>
T enum_value(const std::string& name, const std::map<std::string, T>& words, T otherwise) {
  const auto found = words.find(name);
  return found == words.end() ? otherwise : found->second;
}

}  // namespace pathstack::config

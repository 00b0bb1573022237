/// Strict readers of configuration values. Each throws a ConfigError with the path of the key for a value of
/// the wrong type or out of range: reading such a value as absent would silently lift a limit or a rule.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "config/json_read.h"

namespace pathstack::config {

/// Returns the object under the key `name`, which must be present.
const json& required_object(const json& from, const char* name);

/// Returns a number from `min` to `max`, or `fallback` if the key is absent. `path` names the key in errors.
double number_within(const json& from, const char* name, const std::string& path, double fallback, double min,
                     double max);

/// Like `number_within`, but without the fraction of the number.
template <typename Integer>
Integer integer_within(const json& from, const char* name, const std::string& path, Integer fallback,
                       double min, double max) {
  return static_cast<Integer>(number_within(from, name, path, static_cast<double>(fallback), min, max));
}

/// Returns a numeric address with a port, or `fallback`, which is checked too, if the key is absent.
std::string address_value(const json& from, const char* name, const std::string& fallback);

/// Returns a non-empty string, or `fallback` if the key is absent. Without a `fallback` the key must be
/// present.
std::string string_value(const json& from, const char* name, const std::string& path, const char* fallback);

/// Checks that each of the keys is absent or a non-negative number.
void check_numbers(const json& part, const std::string& path, std::initializer_list<const char*> names);

/// Checks that each of the keys is absent or a boolean.
void check_booleans(const json& part, const std::string& path, std::initializer_list<const char*> names);

/// Checks that the key is absent or one of the words.
void check_enum(const json& part, const char* name, const std::string& path,
                std::initializer_list<const char*> words);

/// Checks that the key is absent or an array of objects.
void check_object_array(const json& part, const char* name, const std::string& path);

}  // namespace pathstack::config

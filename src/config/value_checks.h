// Strict readers of configuration values: each throws ConfigError, by the path of the key, for a value of the
// wrong kind or range. A value that was read as absent instead would silently lift a limit or a rule.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "config/json_read.h"

namespace pathstack::config {

/// The object under `name`, which must be there.
const json& required_object(const json& from, const char* name);

/// A number from `min` to `max`; `fallback` if the key is absent. `path` names the key in errors.
double number_within(const json& from, const char* name, const std::string& path, double fallback, double min,
                     double max);

/// The same as a whole number; a fraction is cut off.
template <typename Integer>
Integer integer_within(const json& from, const char* name, const std::string& path, Integer fallback,
                       double min, double max) {
  return static_cast<Integer>(number_within(from, name, path, static_cast<double>(fallback), min, max));
}

/// A numeric address with a port; `fallback`, which is checked too, if the key is absent.
std::string address_value(const json& from, const char* name, const std::string& fallback);

/// A text that isn't empty. A key that is absent is an error where `fallback` is null.
std::string string_value(const json& from, const char* name, const std::string& path, const char* fallback);

/// Checks that each of the keys is absent or a number that isn't negative.
void check_numbers(const json& part, const std::string& path, std::initializer_list<const char*> names);

/// Checks that each of the keys is absent, true or false.
void check_booleans(const json& part, const std::string& path, std::initializer_list<const char*> names);

/// Checks that the key is absent or one of the words.
void check_enum(const json& part, const char* name, const std::string& path,
                std::initializer_list<const char*> words);

/// Checks that the key is absent or an array of objects.
void check_object_array(const json& part, const char* name, const std::string& path);

}  // namespace pathstack::config

#include "config/value_checks.h"

#include <algorithm>

#include "config/config_error.h"
#include "net/socket.h"

namespace pathstack::config {
namespace {

constexpr double kMaxNumber = 1e15;  // below 2^53, above which a double skips whole units

}  // namespace

const json& required_object(const json& from, const char* name) {
  const json& value = key(from, name);
  if (!value.is_object()) throw_config_error(name, "must be an object");
  return value;
}

double number_within(const json& from, const char* name, const std::string& path, double fallback, double min,
                     double max) {
  const json& value = key(from, name);
  if (value.is_null()) return fallback;
  if (!value.is_number()) throw_config_error(path, "must be a number");
  const double read = number(value, min - 1);  // a number that is not finite becomes out of range
  const bool is_within = read >= min && read <= max;
  if (!is_within) {
    throw_config_error(path, "must be between " + json(min).dump() + " and " + json(max).dump());
  }
  return read;
}

std::string address_value(const json& from, const char* name, const std::string& fallback) {
  const json& value = key(from, name);
  if (!value.is_null() && !value.is_string()) throw_config_error(name, "must be a string");
  std::string address = value.is_string() ? value.get<std::string>() : fallback;
  if (!net::valid_address(address)) {
    throw_config_error(name, "not a numeric address with a port: '" + address + "'");
  }
  return address;
}

std::string string_value(const json& from, const char* name, const std::string& path, const char* fallback) {
  const json& value = key(from, name);
  if (value.is_null() && fallback != nullptr) return fallback;
  const bool is_text = value.is_string() && !value.get_ref<const std::string&>().empty();
  if (!is_text) throw_config_error(path, "must be a non-empty string");
  return value.get<std::string>();
}

void check_numbers(const json& part, const std::string& path, std::initializer_list<const char*> names) {
  for (const char* name : names) number_within(part, name, path + '.' + name, 0, 0, kMaxNumber);
}

void check_booleans(const json& part, const std::string& path, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    const json& value = key(part, name);
    const bool is_flag = value.is_null() || value.is_boolean();
    if (!is_flag) throw_config_error(path + '.' + name, "must be true or false");
  }
}

void check_enum(const json& part, const char* name, const std::string& path,
                std::initializer_list<const char*> words) {
  const json& value = key(part, name);
  if (value.is_null()) return;
  const std::string read = text(value);
  const auto is_read = [&read](const char* word) { return read == word; };
  const bool is_known = value.is_string() && std::any_of(words.begin(), words.end(), is_read);
  if (!is_known) throw_config_error(path + '.' + name, "unknown value: " + value.dump());
}

void check_object_array(const json& part, const char* name, const std::string& path) {
  const json& rows = key(part, name);
  if (rows.is_null()) return;
  const auto is_object = [](const json& row) { return row.is_object(); };
  const bool are_objects = rows.is_array() && std::all_of(rows.begin(), rows.end(), is_object);
  if (!are_objects) throw_config_error(path + '.' + name, "must be an array of objects");
}

}  // namespace pathstack::config

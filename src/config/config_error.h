// The error of a configuration that cannot be used.
#pragma once

#include <stdexcept>
#include <string>

namespace pathstack::config {

/// Its message names the faulty key, or the file.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws a ConfigError about `key`, the dotted path of a key or the name of a file.
[[noreturn]] inline void throw_config_error(const std::string& key, const std::string& problem) {
  throw ConfigError("configuration: " + key + ": " + problem);
}

}  // namespace pathstack::config

/// The exception for an invalid configuration.
#pragma once

#include <stdexcept>
#include <string>

namespace pathstack::config {

/// An invalid configuration. The message names the key, or the file.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws a ConfigError. `key` is the dotted path of a key, or the name of a file.
[[noreturn]] inline void throw_config_error(const std::string& key, const std::string& problem) {
  throw ConfigError("configuration: " + key + ": " + problem);
}

}  // namespace pathstack::config

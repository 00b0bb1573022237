// Reads a file that another process may be writing or replacing at the same time.
#pragma once

#include <optional>
#include <string>

namespace pathstack::config {

/// The bytes of the file from its beginning to its end. Nothing if it cannot be opened, or if a read fails
/// before the end: the bytes read until then are no file. A read that a signal interrupts goes on. Cost:
/// linear in the size of the file.
std::optional<std::string> read_file(const std::string& path);

}  // namespace pathstack::config

/// Reads a file that another process may be writing or replacing at the same time.
#pragma once

#include <optional>
#include <string>

namespace pathstack::config {

/// Returns the content of the file, or nothing if the file cannot be opened or a read fails before the end: a
/// part of the content must not be taken for all of it. Reads that a signal interrupts are repeated. Cost:
/// linear in the size of the file.
std::optional<std::string> read_file(const std::string& path);

}  // namespace pathstack::config

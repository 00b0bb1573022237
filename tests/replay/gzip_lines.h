/// Reads the lines of a gzip-compressed text file.
#pragma once

#include <string>
#include <vector>

namespace pathstack::policy::replay {

/// Returns all lines of the file without their line feeds. Throws std::runtime_error if the file cannot be
/// opened or decompressed, or if its last line does not end with a line feed.
std::vector<std::string> read_gzip_lines(const std::string& path);

}  // namespace pathstack::policy::replay

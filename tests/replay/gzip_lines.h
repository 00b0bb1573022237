// Reads the lines of a gzip'ed text file.
#pragma once

#include <string>
#include <vector>

namespace pathstack::policy::replay {

/// All lines of the file, without their line feeds. Throws std::runtime_error if it can't be read whole.
std::vector<std::string> read_gzip_lines(const std::string& path);

}  // namespace pathstack::policy::replay

/// Splits a byte stream into lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pathstack::feed {

/// Default limit on the length of a line of the membership log, in bytes.
constexpr std::size_t kDefaultMaxEventBytes = std::size_t{1} << 20;

/// Splits bytes into lines; a line may arrive in any number of pieces. Drops empty lines, and a carriage
/// return before a line feed. Each connection has its own instance.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t max_line_bytes = kDefaultMaxEventBytes)
      : max_line_bytes_(max_line_bytes) {}

  /// Appends the lines that `bytes` complete to `out`. Returns false if a line exceeds the limit; the rest of
  /// the stream cannot be parsed then. Cost: linear in the bytes.
  bool take(std::string_view bytes, std::vector<std::string>& out);
  /// The memory of the incomplete line, in bytes.
  std::size_t buffered_bytes() const { return line_.capacity(); }

 private:
  std::size_t max_line_bytes_;
  std::string line_;  // received part of the next line
};

}  // namespace pathstack::feed

// Lines out of a stream of bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pathstack::feed {

/// The longest line of the membership log by default, in bytes.
constexpr std::size_t kDefaultMaxEventBytes = std::size_t{1} << 20;

/// Splits bytes into lines, in whatever pieces they arrive. Empty lines are left out, and so is a carriage
/// return in front of a line end. One instance a connection.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t max_line_bytes = kDefaultMaxEventBytes)
      : max_line_bytes_(max_line_bytes) {}

  /// Appends the lines that `bytes` complete to `out`. False once a line is longer than the limit: the stream
  /// cannot be understood from there on. Cost: linear in the bytes.
  bool take(std::string_view bytes, std::vector<std::string>& out);

 private:
  std::size_t max_line_bytes_;
  std::string line_;  // what has come of the next line
};

}  // namespace pathstack::feed

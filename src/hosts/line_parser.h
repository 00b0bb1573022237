/// Incremental parser of the hosts' line protocol: splits a byte stream into replies, which are lines of
/// words, some followed by a body of a stated length.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathstack::hosts {

/// One line of the protocol with its body, not decoded.
struct Reply {
  std::string id, word, fields;     // `fields` is empty if the line has '-' in its place
  std::optional<std::string> body;  // absent if the line states no length
};

/// Parses the input of one connection. Buffers at most one line or one body, within the limits below.
class LineParser {
 public:
  static constexpr std::size_t kMaxLine = 2048;                  // bytes, including the CR
  static constexpr std::size_t kMaxBody = std::size_t{1} << 20;  // bytes

  /// Consumes all of `bytes` and appends complete replies to `out`. Returns false once the stream is
  /// malformed, and on every later call. Cost: linear in the number of bytes.
  bool take(std::string_view bytes, std::vector<Reply>& out);
  /// True if the start of a reply was received and its end was not.
  bool has_partial_reply() const { return state_ == State::body || !line_.empty(); }

 private:
  enum class State { line, body, malformed };
  State state_ = State::line;
  std::string line_;
  Reply reply_;
  std::size_t body_left_ = 0;
  std::size_t line_end_received_ = 0;  // bytes received of the CR LF after a body

  void take_line(std::string_view& bytes, std::vector<Reply>& out);
  void take_body(std::string_view& bytes);
  void take_line_end(std::string_view& bytes, std::vector<Reply>& out);
  bool end_line(std::vector<Reply>& out);
};

}  // namespace pathstack::hosts

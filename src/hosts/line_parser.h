/// Cuts the bytes of the hosts' line protocol into replies: lines of words, some with a body of a stated
/// length, in whatever pieces they come.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathstack::hosts {

/// One line of the protocol with its body, not yet decoded.
struct Reply {
  std::string id, word, fields;     // fields: empty for '-'
  std::optional<std::string> body;  // absent: no length was given
};

/// Parses one connection's input. Memory: one line, or one body, within the limits below.
class LineParser {
 public:
  static constexpr std::size_t kMaxLine = 2048;  // bytes, the CR included
  static constexpr std::size_t kMaxBody = std::size_t{1} << 20;

  /// Takes all bytes; complete replies are added to `out`. False once the stream cannot be understood any
  /// more, for good. Cost: linear in the bytes.
  bool take(std::string_view bytes, std::vector<Reply>& out);
  /// True if a reply has begun and its rest has to come.
  bool has_partial_reply() const { return state_ == State::body || !line_.empty(); }

 private:
  enum class State { line, body, malformed };
  State state_ = State::line;
  std::string line_;
  Reply reply_;
  std::size_t body_left_ = 0;
  std::size_t line_end_received_ = 0;  // bytes of the CR LF after a body

  void take_line(std::string_view& bytes, std::vector<Reply>& out);
  void take_body(std::string_view& bytes);
  void take_line_end(std::string_view& bytes, std::vector<Reply>& out);
  bool end_line(std::vector<Reply>& out);
};

}  // namespace pathstack::hosts

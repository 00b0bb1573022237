/// Incremental parser of the hosts' line protocol: splits a byte stream into replies, which are lines of
/// words, some followed by a body of a stated length.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pathstack::hosts {

/// One line of the protocol with its body, not decoded.
struct Reply {
  std::string id, word, fields;     // `fields` is empty if the line has '-' in its place
  std::optional<std::string> body;  // absent if the line states no length
};

/// Parses the input of one connection. Buffers at most one line or one body, within the limits below.
///
/// Memory for a body is taken as its bytes arrive, not by the length that its line states, and the owner may
/// refuse it.
class LineParser {
 public:
  /// Returns true if `more` bytes may be buffered besides the `held` ones.
  using Admit = std::function<bool(std::size_t held, std::size_t more)>;

  static constexpr std::size_t kMaxLine = 2048;                  // bytes, including the CR
  static constexpr std::size_t kMaxBody = std::size_t{1} << 20;  // bytes

  /// Without `admit`, memory is never refused.
  explicit LineParser(Admit admit = {}) : admit_(std::move(admit)) {}

  /// Consumes all of `bytes` and appends complete replies to `out`. Returns false once the stream is
  /// malformed or memory was refused, and on every later call. Cost: linear in the number of bytes.
  bool take(std::string_view bytes, std::vector<Reply>& out);
  /// True if the start of a reply was received and its end was not.
  bool has_partial_reply() const { return state_ == State::body || !line_.empty(); }
  /// True once memory was refused.
  bool memory_refused() const { return state_ == State::memory_refused; }
  /// The memory of the incomplete body, in bytes.
  std::size_t buffered_bytes() const { return reply_.body ? reply_.body->capacity() : 0; }

 private:
  enum class State { line, body, malformed, memory_refused };
  State state_ = State::line;
  std::string line_;
  Reply reply_;
  std::size_t body_left_ = 0;
  std::size_t line_end_received_ = 0;  // bytes received of the CR LF after a body
  Admit admit_;

  bool has_failed() const { return state_ == State::malformed || state_ == State::memory_refused; }
  void take_line(std::string_view& bytes, std::vector<Reply>& out);
  void take_body(std::string_view& bytes);
  bool grow_body(std::size_t part);
  void take_line_end(std::string_view& bytes, std::vector<Reply>& out);
  bool end_line(std::vector<Reply>& out);
};

}  // namespace pathstack::hosts

/// The answers of a connection that its socket has not taken yet.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pathstack::resp {

/// The answers that the client of a connection cannot have received yet. To the client their calls are still
/// open.
///
/// Positions are numbers of bytes since the start of the connection. Used by `Connection`. All operations are
/// linear in the number of answers, which is bounded, as a client that does not read may cause any number.
class UnwrittenAnswers {
 public:
  /// No client within the protocol has more calls open. Later answers are not noted.
  static constexpr std::size_t kMaxNoted = 32;

  /// Adds the answer to the call with the tag. Its last byte is at `end`, which is not below those of earlier
  /// answers.
  void add(const std::string& tag, std::uint64_t end) {
    if (answers_.size() < kMaxNoted) answers_.push_back({tag, end});
  }

  /// Removes the answers that are complete among the first `written` bytes.
  void remove_written(std::uint64_t written) {
    const auto is_unwritten = [written](const Answer& answer) { return answer.end > written; };
    answers_.erase(answers_.begin(), std::find_if(answers_.begin(), answers_.end(), is_unwritten));
  }

  /// Removes the answer to a call that the client has cancelled. No effect if there is none.
  void remove_cancelled(const std::string& tag) {
    const auto has_tag = [&tag](const Answer& answer) { return answer.tag == tag; };
    const auto found = std::find_if(answers_.begin(), answers_.end(), has_tag);
    if (found != answers_.end()) answers_.erase(found);
  }

  std::size_t size() const { return answers_.size(); }

 private:
  struct Answer {
    std::string tag;
    std::uint64_t end = 0;
  };
  std::vector<Answer> answers_;  // ordered by `end`
};

}  // namespace pathstack::resp

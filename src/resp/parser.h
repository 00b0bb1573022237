// RESP arrays of bulk strings (the requests and replies of the Redis serialization protocol), read in
// whatever pieces they come.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pathstack::resp {

/// The bulk strings of one array.
using Words = std::vector<std::string>;

/// Reads one connection's byte stream. Owned by the connection; keeps at most one incomplete array, so its
/// memory is bounded by `kMaxMessageBytes`. Cost: linear in the bytes.
class Parser {
 public:
  static constexpr std::size_t kMaxWords = 8;
  static constexpr std::size_t kMaxWordBytes = std::size_t{16} * 1024;
  /// Only one word of a message may be long: its body.
  static constexpr std::size_t kMaxMessageBytes = kMaxWordBytes + 2048;

  /// Takes all bytes and appends complete arrays to `out`. False once the stream is malformed; arrays before
  /// the fault are in `out`, and all bytes after it are ignored.
  bool take(std::string_view bytes, std::vector<Words>& out);
  /// A part of an array has come.
  bool has_partial_message() const { return state_ != State::array || !line_.empty() || cr_seen_; }

 private:
  enum class State { array, bulk, data, data_end, malformed };
  State state_ = State::array;
  std::string line_;  // of a header, without its end
  bool cr_seen_ = false;
  std::size_t words_left_ = 0, bytes_left_ = 0, message_left_ = 0;
  Words words_;

  bool parse_length(char prefix, std::size_t max, std::size_t& value) const;
  bool handle_line(std::vector<Words>& out);
  bool finish_word(std::vector<Words>& out);
};

/// Appends an array of bulk strings to `out`. Cost: the size of the words.
void write_array(std::string& out, const std::vector<std::string_view>& words);

}  // namespace pathstack::resp

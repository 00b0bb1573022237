/// Parsing and encoding of RESP arrays of bulk strings. RESP is the Redis serialization protocol; requests
/// and replies of the invoker are both such arrays.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pathstack::resp {

/// The bulk strings of one array; each of them is called a word.
using Words = std::vector<std::string>;

/// A complete array.
struct Message {
  Words words;
  bool memory_refused = false;  // words were left out, and are empty here
};

/// Incremental parser of the byte stream of one connection. Buffers at most one incomplete array, so
/// `kMaxMessageBytes` bounds the word data in memory. Linear in the input.
///
/// The owner may refuse memory for large words. Such a word and all later ones of its array are read and left
/// out, so that the array can still be answered by its first words.
class Parser {
 public:
  /// Returns true if `bytes` more may be buffered. Asked once for each word by which an array exceeds
  /// `kSmallMessageBytes`.
  using Admit = std::function<bool(std::size_t bytes)>;

  /// Size of the words of an array up to which memory is never refused.
  static constexpr std::size_t kSmallMessageBytes = 2048;
  /// Maximum number of words in an array.
  static constexpr std::size_t kMaxWords = 8;
  /// Maximum size of a word.
  static constexpr std::size_t kMaxWordBytes = std::size_t{16} * 1024;
  /// Maximum total size of the words of an array: a body of the maximum size and 2 KiB for all other words.
  static constexpr std::size_t kMaxMessageBytes = kMaxWordBytes + 2048;

  /// Without `admit`, memory is never refused.
  explicit Parser(Admit admit = {}) : admit_(std::move(admit)) {}

  /// Consumes all bytes and appends complete arrays to `out`. Returns false once the stream is malformed.
  /// Arrays before the syntax error are appended; all bytes after the error are ignored, also in later calls.
  bool take(std::string_view bytes, std::vector<Message>& out);
  /// The same for parsers without `admit`, whose arrays have all their words.
  bool take(std::string_view bytes, std::vector<Words>& out);
  /// The memory of the words of the incomplete array, in bytes, without those of constant size.
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  /// True if an incomplete array has been received, or if the stream is malformed.
  bool has_partial_message() const { return state_ != State::array || !line_.empty() || cr_seen_; }

 private:
  enum class State { array, bulk, data, data_end, malformed };
  State state_ = State::array;
  std::string line_;                // the current header line, without its line end
  bool cr_seen_ = false;            // the last byte was the CR of a line end
  std::size_t words_left_ = 0;      // of the current array
  std::size_t bytes_left_ = 0;      // of the current word
  std::size_t message_left_ = 0;    // bytes that further words of the current array may have
  std::size_t buffered_bytes_ = 0;  // admitted for words of the current array
  Message message_;                 // the current array
  Admit admit_;

  /// Begins a word of `bytes_left_` bytes. Leaves it out if memory is refused.
  void begin_word();
  /// Parses `line_` as `prefix` followed by a decimal number of at most `max`. Returns false on a syntax
  /// error.
  bool parse_length(char prefix, std::size_t max, std::size_t& value) const;
  /// Handles a complete header line or the line end of a word. Returns false on a syntax error.
  bool handle_line(std::vector<Message>& out);
  /// Ends the current word, and appends the array to `out` if the word was the last one. Returns true.
  bool finish_word(std::vector<Message>& out);
};

/// Appends `words`, encoded as an array of bulk strings, to `out`. Linear in the size of the words.
void write_array(std::string& out, const std::vector<std::string_view>& words);

}  // namespace pathstack::resp

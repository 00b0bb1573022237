#include "resp/parser.h"

#include <algorithm>
#include <utility>

#include "net/fields.h"

namespace pathstack::resp {
namespace {

constexpr std::size_t kMaxHeaderBytes = 12;  // a prefix and more digits than any permitted length has

}  // namespace

bool Parser::parse_length(char prefix, std::size_t max, std::size_t& value) const {
  if (line_.empty() || line_[0] != prefix) return false;
  const auto read = net::parse_whole(std::string_view(line_).substr(1), max);
  value = read.value_or(0);
  return read.has_value();
}

bool Parser::handle_line(std::vector<Message>& out) {
  if (state_ == State::array) {
    if (!parse_length('*', kMaxWords, words_left_) || words_left_ == 0) return false;
    message_ = Message();
    message_left_ = kMaxMessageBytes;
    state_ = State::bulk;
  } else if (state_ == State::bulk) {
    if (!parse_length('$', std::min(kMaxWordBytes, message_left_), bytes_left_)) return false;
    message_left_ -= bytes_left_;
    begin_word();
    state_ = State::data;
  } else {
    if (!line_.empty()) return false;
    return finish_word(out);
  }
  return true;
}

void Parser::begin_word() {
  message_.words.emplace_back();
  const bool is_large = kMaxMessageBytes - message_left_ > kSmallMessageBytes;
  if (!is_large || message_.memory_refused) return;
  message_.memory_refused = admit_ && !admit_(bytes_left_);
  if (message_.memory_refused) return;
  message_.words.back().reserve(bytes_left_);  // without spare capacity, which nobody accounts for
  buffered_bytes_ += bytes_left_;
}

bool Parser::finish_word(std::vector<Message>& out) {
  state_ = State::bulk;
  if (--words_left_ > 0) return true;
  out.push_back(std::exchange(message_, {}));
  buffered_bytes_ = 0;
  state_ = State::array;
  return true;
}

bool Parser::take(std::string_view bytes, std::vector<Words>& out) {
  std::vector<Message> messages;
  const bool well_formed = take(bytes, messages);
  for (Message& message : messages) out.push_back(std::move(message.words));
  return well_formed;
}

bool Parser::take(std::string_view bytes, std::vector<Message>& out) {
  while (!bytes.empty() && state_ != State::malformed) {
    if (state_ == State::data) {
      const std::size_t part = std::min(bytes_left_, bytes.size());
      if (!message_.memory_refused) message_.words.back().append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      bytes_left_ -= part;
      if (bytes_left_ == 0) state_ = State::data_end;
      continue;
    }
    const char c = bytes.front();
    bytes.remove_prefix(1);
    if (cr_seen_) {
      cr_seen_ = false;
      if (c != '\n' || !handle_line(out)) state_ = State::malformed;
      line_.clear();
      if (state_ == State::data && bytes_left_ == 0) state_ = State::data_end;
    } else if (c == '\r') {
      cr_seen_ = true;
    } else if (state_ == State::data_end || line_.size() >= kMaxHeaderBytes) {
      state_ = State::malformed;  // bytes beyond the length of a word, or a header line that is too long
    } else {
      line_.push_back(c);
    }
  }
  return state_ != State::malformed;
}

void write_array(std::string& out, const std::vector<std::string_view>& words) {
  out += '*' + std::to_string(words.size()) + "\r\n";
  for (const auto word : words) {
    out += '$' + std::to_string(word.size()) + "\r\n";
    out += word;
    out += "\r\n";
  }
}

}  // namespace pathstack::resp

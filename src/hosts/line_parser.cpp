#include "hosts/line_parser.h"

#include <algorithm>
#include <utility>

#include "net/fields.h"

namespace pathstack::hosts {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::vector<std::string> split_words(const std::string& line) {
  std::vector<std::string> words(1);
  for (const char c : line) {
    if (c == ' ') {
      words.emplace_back();
    } else {
      words.back() += c;
    }
  }
  return words;
}

}  // namespace

bool LineParser::end_line(std::vector<Reply>& out) {
  std::vector<std::string> words = split_words(line_);
  line_.clear();
  if (words.size() < 2 || words.size() > 4 || words[0].empty() || words[1].empty()) return false;
  reply_ = Reply{std::move(words[0]), std::move(words[1]), {}, {}};
  if (words.size() > 2 && words[2] != "-") reply_.fields = std::move(words[2]);
  if (words.size() < 4) {
    out.push_back(std::move(reply_));
    return true;
  }
  const auto length = net::parse_whole(words[3], kMaxBody);
  if (!length) return false;
  reply_.body.emplace();
  body_left_ = *length;
  line_end_received_ = 0;
  state_ = State::body;
  return true;
}

bool LineParser::take(std::string_view bytes, std::vector<Reply>& out) {
  while (!bytes.empty() && !has_failed()) {
    if (state_ == State::line) {
      take_line(bytes, out);
    } else if (body_left_ > 0) {
      take_body(bytes);
    } else {
      take_line_end(bytes, out);
    }
  }
  return !has_failed();
}

void LineParser::take_line(std::string_view& bytes, std::vector<Reply>& out) {
  const auto end = bytes.find('\n');
  const bool complete = end != std::string_view::npos;
  line_.append(bytes.substr(0, std::min(end, kMaxLine + 1)));
  bytes.remove_prefix(complete ? end + 1 : bytes.size());
  // Bounds the memory that an unterminated line can take.
  const bool too_long = line_.size() > kMaxLine;
  const bool wrong_end = complete && (line_.empty() || line_.back() != '\r');
  if (too_long || wrong_end) {
    state_ = State::malformed;
    return;
  }
  if (!complete) return;
  line_.pop_back();
  if (!end_line(out)) state_ = State::malformed;
}

void LineParser::take_body(std::string_view& bytes) {
  const std::size_t part = std::min(body_left_, bytes.size());
  if (!grow_body(part)) {
    state_ = State::memory_refused;
    reply_ = Reply();
    return;
  }
  reply_.body->append(bytes.substr(0, part));
  bytes.remove_prefix(part);
  body_left_ -= part;
}

// Makes room for `part` bytes; doubles the room if more are to follow. Returns false if memory is refused.
bool LineParser::grow_body(std::size_t part) {
  std::string& body = *reply_.body;
  const std::size_t needed = body.size() + part;
  if (needed <= body.capacity()) return true;
  const std::size_t room = std::min(body.size() + body_left_, std::max(needed, 2 * body.capacity()));
  if (admit_ && !admit_(body.capacity(), room)) return false;  // the old room is held until the move
  body.reserve(room);
  return true;
}

void LineParser::take_line_end(std::string_view& bytes, std::vector<Reply>& out) {
  if (bytes.front() != kLineEnd[line_end_received_]) {
    state_ = State::malformed;
    return;
  }
  bytes.remove_prefix(1);
  if (++line_end_received_ < kLineEnd.size()) return;
  out.push_back(std::exchange(reply_, {}));
  state_ = State::line;
}

}  // namespace pathstack::hosts

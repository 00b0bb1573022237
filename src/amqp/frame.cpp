#include "amqp/frame.h"

#include <algorithm>
#include <utility>

#include "amqp/field_codec.h"

namespace pathstack::amqp {
namespace {

constexpr char kFrameEnd = static_cast<char>(0xCE);
constexpr std::size_t kFrameHeaderSize = 7;

bool is_known(FrameType type) {
  switch (type) {
    case FrameType::method:
    case FrameType::header:
    case FrameType::body:
    case FrameType::heartbeat: return true;
  }
  return false;
}

}  // namespace

bool FrameParser::take(std::string_view bytes, std::vector<Frame>& frames) {
  while (!bytes.empty() && !malformed_) {
    if (in_payload_) {
      take_payload(bytes, frames);
    } else {
      take_header(bytes);
    }
  }
  return !malformed_;
}

void FrameParser::take_header(std::string_view& bytes) {
  const std::size_t part = std::min(kFrameHeaderSize - header_.size(), bytes.size());
  header_.append(bytes.substr(0, part));
  bytes.remove_prefix(part);
  if (header_.size() < kFrameHeaderSize) return;
  ArgumentReader header(header_);
  frame_ = Frame();
  frame_.type = static_cast<FrameType>(header.u8());
  frame_.channel = header.u16();
  payload_remaining_ = header.u32();
  malformed_ = !is_known(frame_.type) || payload_remaining_ > max_payload_;
  in_payload_ = true;
  header_.clear();
}

void FrameParser::take_payload(std::string_view& bytes, std::vector<Frame>& frames) {
  const std::size_t part = std::min(payload_remaining_, bytes.size());
  frame_.payload.append(bytes.substr(0, part));
  bytes.remove_prefix(part);
  payload_remaining_ -= part;
  if (payload_remaining_ > 0 || bytes.empty()) return;
  malformed_ = bytes.front() != kFrameEnd;
  bytes.remove_prefix(1);
  in_payload_ = false;
  if (!malformed_) frames.push_back(std::move(frame_));
}

std::string encode_frame(FrameType type, std::uint16_t channel, std::string_view payload) {
  ArgumentWriter header;
  header.u8(static_cast<std::uint8_t>(type)).u16(channel).u32(payload.size());
  std::string out = header.bytes();
  out += payload;
  out += kFrameEnd;
  return out;
}

std::string encode_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments) {
  ArgumentWriter code;
  code.u32(static_cast<std::uint32_t>(method));
  return encode_frame(FrameType::method, channel, code.bytes() + arguments.bytes());
}

}  // namespace pathstack::amqp

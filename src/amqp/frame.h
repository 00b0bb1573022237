// AMQP 0-9-1 frames (2.3.5): a header of seven octets, a payload and an end octet.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amqp/method.h"

namespace pathstack::amqp {

class ArgumentWriter;

/// The frame types of the specification, under their octets on the wire.
enum class FrameType : std::uint8_t { method = 1, header = 2, body = 3, heartbeat = 8 };

/// One frame without its header and end octet.
struct Frame {
  FrameType type = FrameType::heartbeat;
  std::uint16_t channel = 0;
  std::string payload;
};

/// The octets of a frame beside its payload: the header and the end octet.
constexpr std::size_t kFrameOverhead = 8;

/// Cuts a stream of bytes into frames, in whatever pieces the bytes come.
///
/// Owns the frame that is still incomplete, at most the payload limit. Not thread-safe. Once the stream is
/// malformed it stays so: where the next frame begins cannot be known.
class FrameParser {
 public:
  /// Takes all of `bytes` and appends the frames that became complete to `frames`, also those before a
  /// malformed one. False once the stream is malformed: a frame type that is not known, a payload over the
  /// limit, or a wrong end octet. Cost: the number of bytes.
  bool take(std::string_view bytes, std::vector<Frame>& frames);

  /// Sets the largest payload, in octets, that is accepted from the next frame header on.
  void set_max_payload(std::size_t octets) { max_payload_ = octets; }

 private:
  std::size_t max_payload_ = std::size_t{128} * 1024;
  std::string header_;  // the octets of an incomplete frame header
  Frame frame_;
  std::size_t payload_remaining_ = 0;
  bool in_payload_ = false;  // or before the end octet
  bool malformed_ = false;

  void take_header(std::string_view& bytes);
  void take_payload(std::string_view& bytes, std::vector<Frame>& frames);
};

/// A whole frame as it goes on the wire.
std::string encode_frame(FrameType type, std::uint16_t channel, std::string_view payload);

/// A whole method frame as it goes on the wire.
std::string encode_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments);

}  // namespace pathstack::amqp

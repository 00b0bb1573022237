/// Encoding and parsing of AMQP 0-9-1 frames (2.3.5): a header of seven octets, a payload and an end octet.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amqp/method.h"

namespace pathstack::amqp {

class ArgumentWriter;

/// Frame types with their values on the wire.
enum class FrameType : std::uint8_t { method = 1, header = 2, body = 3, heartbeat = 8 };

/// A parsed frame.
struct Frame {
  FrameType type = FrameType::heartbeat;
  std::uint16_t channel = 0;
  std::string payload;
};

/// The size of the frame header and end octet together, in octets.
constexpr std::size_t kFrameOverhead = 8;

/// Incremental parser that splits a byte stream into frames. Input may be split at any byte.
///
/// Buffers one incomplete frame, up to the payload limit. Not thread-safe. A malformed stream cannot be
/// resynchronized, as the start of the next frame is unknown.
class FrameParser {
 public:
  /// Consumes all of `bytes` and appends completed frames to `frames`, including those before a malformed
  /// one. Returns false once the stream is malformed: an unknown frame type, a payload over the limit, or a
  /// wrong end octet. Linear in the number of bytes.
  bool take(std::string_view bytes, std::vector<Frame>& frames);

  /// Sets the maximum payload size in octets. Applies from the next frame header on.
  void set_max_payload(std::size_t octets) { max_payload_ = octets; }

 private:
  std::size_t max_payload_ = std::size_t{128} * 1024;
  std::string header_;  // the octets of an incomplete frame header so far
  Frame frame_;
  std::size_t payload_remaining_ = 0;
  bool in_payload_ = false;  // reading the payload or the end octet
  bool malformed_ = false;

  void take_header(std::string_view& bytes);
  void take_payload(std::string_view& bytes, std::vector<Frame>& frames);
};

/// Returns a complete frame in wire encoding.
std::string encode_frame(FrameType type, std::uint16_t channel, std::string_view payload);

/// Returns a complete method frame in wire encoding.
std::string encode_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments);

}  // namespace pathstack::amqp

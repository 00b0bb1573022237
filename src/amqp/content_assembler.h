// Puts messages together from the method, header and body frames that carry them (AMQP 0-9-1, 2.3.5.2).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "amqp/content_header.h"
#include "amqp/frame.h"
#include "core/counter.h"

namespace pathstack::amqp {

/// A delivery's number on its channel; it means nothing on another one.
enum class DeliveryTag : std::uint64_t {};

/// A message that the broker delivered to one of our consumers.
struct Delivery {
  DeliveryTag tag{};
  bool redelivered = false;  // it may have been delivered before, here or to another consumer
  bool oversized = false;    // the body is longer than the limit and was not kept
  BasicProperties properties;
  std::string body;
};

/// Assembles one message at a time, as a channel carries them: basic.deliver or basic.return, a content
/// header, then body frames up to the size that the header tells.
///
/// Owned by Channel. No I/O. Holds one body of at most `max_body_bytes`. Cost: the bytes of the frames.
class ContentAssembler {
 public:
  explicit ContentAssembler(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

  /// Called on basic.deliver: the content that follows is a delivery.
  void begin_delivery(DeliveryTag tag, bool redelivered);

  /// Called on basic.return: the content that follows is a message of our own that could not be routed; it
  /// is read and dropped.
  void begin_return();

  /// True from a begin to the last frame of the content; no method may come on the channel between them.
  bool in_progress() const { return kind_ != Kind::none; }

  /// Takes a header or body frame. Returns why the connection has to end, or nothing.
  std::optional<core::Counter> add_frame(const Frame& frame);

  /// The delivery that the last frame completed, once.
  std::optional<Delivery> take_delivery();

 private:
  enum class Kind { none, delivery, returned };

  std::size_t max_body_bytes_;
  Kind kind_ = Kind::none;
  bool header_seen_ = false;
  std::uint64_t body_remaining_ = 0;  // octets
  Delivery delivery_;
  bool delivery_complete_ = false;

  void begin(Kind kind);
  std::optional<core::Counter> add_header(const Frame& frame);
  std::optional<core::Counter> add_body(const Frame& frame);
  void complete();
};

}  // namespace pathstack::amqp

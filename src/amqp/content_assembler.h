/// Reassembles messages from their method, content header and body frames (AMQP 0-9-1, 2.3.5.2).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "amqp/content_header.h"
#include "amqp/frame.h"
#include "core/counter.h"

namespace pathstack::amqp {

/// The number of a delivery, valid only on the channel that delivered it.
enum class DeliveryTag : std::uint64_t {};

/// A message delivered by the broker to one of this client's consumers.
struct Delivery {
  DeliveryTag tag{};
  bool redelivered = false;  // may have been delivered before, to this or another consumer
  bool oversized = false;    // the body exceeded the limit and was discarded
  BasicProperties properties;
  std::string body;
};

/// Assembles one message at a time: basic.deliver or basic.return, a content header, then body frames up to
/// the body size given in the header.
///
/// Owned by Channel. Does no I/O. Holds one body of at most `max_body_bytes`. Linear in the bytes of the
/// frames.
class ContentAssembler {
 public:
  explicit ContentAssembler(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

  /// Called on basic.deliver: the content that follows belongs to a delivery.
  void begin_delivery(DeliveryTag tag, bool redelivered);

  /// Called on basic.return: the content that follows is a message published by this client that could not be
  /// routed. It is read and discarded.
  void begin_return();

  /// True from `begin_delivery` or `begin_return` to the last frame of the content. The broker must not send
  /// a method on the channel during that time.
  bool in_progress() const { return kind_ != Kind::none; }

  /// Adds a content header or body frame. Returns the counter of the reason if the connection must end,
  /// otherwise nothing.
  std::optional<core::Counter> add_frame(const Frame& frame);

  /// Returns the delivery that the last frame completed. Returns nothing if there is none or if the delivery
  /// was already taken.
  std::optional<Delivery> take_delivery();

 private:
  enum class Kind { none, delivery, returned };

  std::size_t max_body_bytes_;
  Kind kind_ = Kind::none;
  bool header_seen_ = false;
  std::uint64_t body_remaining_ = 0;  // octets still expected
  Delivery delivery_;
  bool delivery_complete_ = false;

  void begin(Kind kind);
  std::optional<core::Counter> add_header(const Frame& frame);
  std::optional<core::Counter> add_body(const Frame& frame);
  void complete();
};

}  // namespace pathstack::amqp

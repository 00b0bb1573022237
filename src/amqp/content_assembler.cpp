#include "amqp/content_assembler.h"

#include <utility>

#include "amqp/connection_setup.h"

namespace pathstack::amqp {

void ContentAssembler::begin(Kind kind) {
  kind_ = kind;
  header_seen_ = false;
  body_left_ = 0;
  delivery_ = Delivery();
  delivery_complete_ = false;
}

void ContentAssembler::begin_delivery(DeliveryTag tag, bool redelivered) {
  begin(Kind::delivery);
  delivery_.tag = tag;
  delivery_.redelivered = redelivered;
}

void ContentAssembler::begin_return() { begin(Kind::returned); }

std::optional<core::Counter> ContentAssembler::take(const Frame& frame) {
  if (!in_progress() || frame.channel != kChannel) return core::Counter::amqp_stray_content;
  const auto failure = frame.type == FrameType::header ? take_header(frame) : take_body(frame);
  if (failure) return failure;
  if (body_left_ == 0) complete();
  return std::nullopt;
}

std::optional<core::Counter> ContentAssembler::take_header(const Frame& frame) {
  if (header_seen_) return core::Counter::amqp_malformed;
  auto header = decode_content_header(frame.payload);
  if (!header) return core::Counter::amqp_malformed;
  header_seen_ = true;
  body_left_ = header->body_size;
  delivery_.properties = std::move(header->properties);
  delivery_.oversized = body_left_ > max_body_bytes_;
  return std::nullopt;
}

std::optional<core::Counter> ContentAssembler::take_body(const Frame& frame) {
  if (!header_seen_ || frame.payload.size() > body_left_) return core::Counter::amqp_malformed;
  body_left_ -= frame.payload.size();
  if (!delivery_.oversized) delivery_.body += frame.payload;
  return std::nullopt;
}

void ContentAssembler::complete() {
  delivery_complete_ = kind_ == Kind::delivery;
  kind_ = Kind::none;
}

std::optional<Delivery> ContentAssembler::take_delivery() {
  if (!delivery_complete_) return std::nullopt;
  delivery_complete_ = false;
  return std::move(delivery_);
}

}  // namespace pathstack::amqp

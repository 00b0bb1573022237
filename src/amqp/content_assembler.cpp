#include "amqp/content_assembler.h"

#include <utility>

#include "amqp/connection_setup.h"

namespace pathstack::amqp {

void ContentAssembler::begin(Kind kind) {
  kind_ = kind;
  header_seen_ = false;
  body_remaining_ = 0;
  delivery_ = Delivery();
  delivery_complete_ = false;
}

void ContentAssembler::begin_delivery(DeliveryTag tag, bool redelivered) {
  begin(Kind::delivery);
  delivery_.tag = tag;
  delivery_.redelivered = redelivered;
}

void ContentAssembler::begin_return() { begin(Kind::returned); }

std::optional<core::Counter> ContentAssembler::add_frame(const Frame& frame) {
  if (!in_progress() || frame.channel != kChannel) return core::Counter::amqp_stray_content;
  const auto failure = frame.type == FrameType::header ? add_header(frame) : add_body(frame);
  if (failure) return failure;
  if (body_remaining_ == 0) complete();
  return std::nullopt;
}

std::optional<core::Counter> ContentAssembler::add_header(const Frame& frame) {
  if (header_seen_) return core::Counter::amqp_malformed;
  auto header = decode_content_header(frame.payload);
  if (!header) return core::Counter::amqp_malformed;
  header_seen_ = true;
  body_remaining_ = header->body_size;
  delivery_.properties = std::move(header->properties);
  delivery_.oversized = body_remaining_ > max_body_bytes_;
  return std::nullopt;
}

std::optional<core::Counter> ContentAssembler::add_body(const Frame& frame) {
  if (!header_seen_ || frame.payload.size() > body_remaining_) return core::Counter::amqp_malformed;
  body_remaining_ -= frame.payload.size();
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

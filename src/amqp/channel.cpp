#include "amqp/channel.h"

#include <utility>
#include <vector>

#include "amqp/client_identity.h"
#include "amqp/method.h"

namespace pathstack::amqp {
namespace {

constexpr net::Millis kSetupTimeout{10000};
constexpr std::string_view kProtocolHeader("AMQP\0\0\x09\x01", 8);
constexpr std::uint16_t kReplySuccess = 200;  // reply code of a normal close
constexpr std::uint8_t kFirstBit = 1;         // consecutive bit arguments share an octet
constexpr std::uint8_t kMandatory = 1;        // bit of basic.publish: return unroutable messages

bool read_flag(ArgumentReader& arguments) { return (arguments.u8() & kFirstBit) != 0; }

}  // namespace

Channel::Channel(net::Loop& loop, net::BufferPool& pool, core::Counters& counters,
                 const BrokerSettings& broker, ChannelListener& listener, net::Socket socket)
    : Stream(loop, pool, std::move(socket), true),
      counters_(counters),
      broker_(broker),
      listener_(listener),
      setup_(broker, *this),
      content_(broker.max_body_bytes),
      heartbeat_(
          loop, [this] { write(encode_frame(FrameType::heartbeat, kConnectionChannel, {})); },
          [this] { fail_connection(core::Counter::amqp_quiet); }) {
  setup_timer_ =
      loop.at(loop.now() + kSetupTimeout, [this] { fail_connection(core::Counter::amqp_setup_late); });
}

Channel::~Channel() { loop().cancel(setup_timer_); }

PublishSequence Channel::publish(const std::string& queue, const BasicProperties& properties,
                                 std::string_view body) {
  ArgumentWriter publish;
  publish.u16(0);            // reserved
  publish.short_string("");  // the default exchange routes by queue name
  publish.short_string(queue);
  publish.u8(kMandatory);  // an answer whose queue does not exist is returned and counted
  write_method(Method::basic_publish, kChannel, publish);
  write(encode_frame(FrameType::header, kChannel, encode_content_header(body.size(), properties)));
  const std::size_t max_payload = setup_.tuning().max_frame_size - kFrameOverhead;
  for (std::size_t at = 0; at < body.size(); at += max_payload) {
    write(encode_frame(FrameType::body, kChannel, body.substr(at, max_payload)));
  }
  counters_.add(core::Counter::amqp_published);
  ++published_count_;
  return PublishSequence{published_count_};
}

void Channel::ack(DeliveryTag tag) {
  counters_.add(core::Counter::amqp_acked);
  ArgumentWriter ack;
  ack.u64(static_cast<std::uint64_t>(tag));
  ack.u8(0);  // multiple: off
  write_method(Method::basic_ack, kChannel, ack);
}

void Channel::reject(DeliveryTag tag) {
  counters_.add(core::Counter::amqp_rejected);
  ArgumentWriter reject;
  reject.u64(static_cast<std::uint64_t>(tag));
  reject.u8(0);  // requeue: off
  write_method(Method::basic_reject, kChannel, reject);
}

void Channel::cancel_consumers() {
  for (std::size_t i = 0; is_up() && i < broker_.queues.size(); ++i) {
    ArgumentWriter cancel;
    cancel.short_string(consumer_tag(i));
    cancel.u8(0);  // no-wait: off
    write_method(Method::basic_cancel, kChannel, cancel);
  }
}

void Channel::close() {
  if (!is_up()) return end_later();
  closing_ = true;
  ArgumentWriter close;
  close.u16(kReplySuccess);
  close.short_string("goodbye");
  close.u16(0);  // failing class id and method id: none
  close.u16(0);
  write_method(Method::connection_close, kConnectionChannel, close);
}

void Channel::connected() { write(kProtocolHeader); }

void Channel::ended() {
  heartbeat_.stop();
  loop().cancel(setup_timer_);
  listener_.on_channel_down();
}

void Channel::write_method(Method method, std::uint16_t channel, const ArgumentWriter& arguments) {
  write(encode_method(method, channel, arguments));
}

void Channel::received(std::string_view bytes) {
  heartbeat_.on_peer_activity();
  std::vector<Frame> frames;
  const bool well_formed = parser_.take(bytes, frames);
  for (const auto& frame : frames) {
    if (on_frame(frame) == FrameAction::stop) return;
  }
  if (!well_formed) fail_connection(core::Counter::amqp_malformed);
}

Channel::FrameAction Channel::on_frame(const Frame& frame) {
  if (frame.type == FrameType::heartbeat) return FrameAction::proceed;
  const bool channel_open = frame.channel == kConnectionChannel || frame.channel == kChannel;
  if (!channel_open) return fail_connection(core::Counter::amqp_unknown_channel);
  if (frame.type != FrameType::method) return on_content_frame(frame);
  return on_method_frame(frame);
}

Channel::FrameAction Channel::on_content_frame(const Frame& frame) {
  if (const auto failure = content_.add_frame(frame)) return fail_connection(*failure);
  if (auto delivery = content_.take_delivery()) {
    counters_.add(core::Counter::amqp_deliveries);
    listener_.on_delivery(std::move(*delivery));
  }
  return FrameAction::proceed;
}

Channel::FrameAction Channel::on_method_frame(const Frame& frame) {
  if (content_.in_progress()) return fail_connection(core::Counter::amqp_content_broken_off);
  ArgumentReader arguments(frame.payload);
  const auto method = static_cast<Method>(arguments.u32());
  if (on_method(method, arguments) == FrameAction::stop) return FrameAction::stop;
  return arguments.ok() ? FrameAction::proceed : fail_connection(core::Counter::amqp_malformed);
}

Channel::FrameAction Channel::on_method(Method method, ArgumentReader& arguments) {
  switch (method) {
    case Method::connection_start:
    case Method::connection_tune:
    case Method::connection_open_ok:
    case Method::channel_open_ok:
    case Method::confirm_select_ok:
    case Method::basic_qos_ok:
    case Method::basic_consume_ok: return on_setup_method(method, arguments);
    case Method::basic_cancel_ok: return FrameAction::proceed;
    // The queue was deleted. Reconnecting consumes from it again once it has been recreated.
    case Method::basic_cancel: return fail_connection(core::Counter::amqp_consumer_cancelled);
    case Method::basic_deliver: return on_deliver(arguments);
    case Method::basic_return: return on_return();
    case Method::basic_ack: return on_confirm(PublisherConfirm::Outcome::acked, arguments);
    case Method::basic_nack: return on_confirm(PublisherConfirm::Outcome::nacked, arguments);
    case Method::channel_flow: return on_flow(arguments);
    case Method::channel_close: return on_channel_close();
    case Method::connection_close: return on_connection_close();
    case Method::connection_close_ok: return on_connection_close_ok();
    default: return fail_connection(core::Counter::amqp_unknown_method);
  }
}

Channel::FrameAction Channel::on_setup_method(Method method, ArgumentReader& arguments) {
  const bool was_complete = setup_.complete();
  if (const auto failure = setup_.handle(method, arguments)) return fail_connection(*failure);
  if (method == Method::connection_tune) apply_tuning();
  if (setup_.complete() && !was_complete) on_setup_complete();
  return FrameAction::proceed;
}

void Channel::apply_tuning() {
  parser_.set_max_payload(setup_.tuning().max_frame_size - kFrameOverhead);
  heartbeat_.start(setup_.tuning().heartbeat);
}

void Channel::on_setup_complete() {
  loop().cancel(setup_timer_);
  listener_.on_channel_up();
}

Channel::FrameAction Channel::on_deliver(ArgumentReader& arguments) {
  arguments.short_string();  // the consumer tag
  const DeliveryTag tag{arguments.u64()};
  const bool redelivered = read_flag(arguments);
  if (!arguments.ok()) return fail_connection(core::Counter::amqp_malformed);
  content_.begin_delivery(tag, redelivered);
  return FrameAction::proceed;
}

// The reply queue no longer exists. The broker still sends a publisher confirm for a returned message.
Channel::FrameAction Channel::on_return() {
  counters_.add(core::Counter::amqp_answers_returned);
  content_.begin_return();
  return FrameAction::proceed;
}

Channel::FrameAction Channel::on_confirm(PublisherConfirm::Outcome outcome, ArgumentReader& arguments) {
  const auto confirm = read_confirm(outcome, arguments);
  if (!confirm) return fail_connection(core::Counter::amqp_malformed);
  listener_.on_publisher_confirm(*confirm);
  return FrameAction::proceed;
}

std::optional<PublisherConfirm> read_confirm(PublisherConfirm::Outcome outcome, ArgumentReader& arguments) {
  PublisherConfirm confirm;
  confirm.sequence = PublishSequence{arguments.u64()};
  confirm.multiple = read_flag(arguments);
  confirm.outcome = outcome;
  if (!arguments.ok()) return std::nullopt;
  return confirm;
}

Channel::FrameAction Channel::on_flow(ArgumentReader& arguments) {
  const bool active = read_flag(arguments);
  if (!arguments.ok()) return fail_connection(core::Counter::amqp_malformed);
  flow_active_ = active;
  ArgumentWriter flow_ok;
  flow_ok.u8(flow_active_ ? 1 : 0);
  write_method(Method::channel_flow_ok, kChannel, flow_ok);
  if (flow_active_ && is_set_up()) listener_.on_channel_up();
  return FrameAction::proceed;
}

Channel::FrameAction Channel::on_channel_close() {
  write_method(Method::channel_close_ok, kChannel, ArgumentWriter());
  flush_now();
  return fail_connection(core::Counter::amqp_channel_closed);
}

Channel::FrameAction Channel::on_connection_close() {
  write_method(Method::connection_close_ok, kConnectionChannel, ArgumentWriter());
  flush_now();
  return fail_connection(core::Counter::amqp_connection_closed);
}

Channel::FrameAction Channel::on_connection_close_ok() {
  end_later();
  return FrameAction::stop;
}

Channel::FrameAction Channel::fail_connection(core::Counter reason) {
  counters_.add(reason);
  end_later();
  return FrameAction::stop;
}

}  // namespace pathstack::amqp

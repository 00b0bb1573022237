// Unit tests of the parts of an AMQP channel: connection handshake, content assembly, publisher confirms and
// call keys.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "amqp/call_codec.h"
#include "amqp/channel.h"
#include "amqp/connection_setup.h"
#include "amqp/content_assembler.h"

namespace pathstack::test {
namespace {

using amqp::ArgumentReader;
using amqp::ArgumentWriter;
using amqp::ContentAssembler;
using amqp::DeliveryTag;
using amqp::FrameType;
using amqp::Method;
using core::Counter;
using Failure = std::optional<Counter>;

class RecordingSink final : public amqp::MethodSink {
 public:
  void write_method(Method method, std::uint16_t /*channel*/, const ArgumentWriter& arguments) override {
    methods.push_back(method);
    last_arguments = arguments.bytes();
  }
  std::vector<Method> methods;
  std::string last_arguments;
};

/// Passes one method from the broker to the handshake.
Failure handle(amqp::ConnectionSetup& setup, Method method, const ArgumentWriter& arguments = {}) {
  ArgumentReader reader(arguments.bytes());
  return setup.handle(method, reader);
}

ArgumentWriter start_offering(const std::string& mechanisms) {
  ArgumentWriter start;
  start.u8(0).u8(9).table({}).long_string(mechanisms).long_string("en_US");
  return start;
}

ArgumentWriter tune(std::uint32_t frame_size, std::uint16_t heartbeat_s) {
  ArgumentWriter out;
  out.u16(0).u32(frame_size).u16(heartbeat_s);
  return out;
}

amqp::BrokerSettings broker_with_two_queues() {
  amqp::BrokerSettings broker;
  broker.queues = {"a", "b"};
  return broker;
}

amqp::Frame header_frame(std::uint64_t body_size) {
  return {FrameType::header, amqp::kChannel, amqp::encode_content_header(body_size, {})};
}

amqp::Frame on_connection_channel(amqp::Frame frame) {
  frame.channel = amqp::kConnectionChannel;
  return frame;
}

amqp::Frame body_frame(const std::string& body) { return {FrameType::body, amqp::kChannel, body}; }

TEST_CASE("AMQP: the connection handshake is complete once every consumer is running") {
  const amqp::BrokerSettings broker = broker_with_two_queues();
  RecordingSink sink;
  amqp::ConnectionSetup setup(broker, sink);
  CHECK(handle(setup, Method::connection_start, start_offering("AMQPLAIN PLAIN")) == std::nullopt);
  CHECK(handle(setup, Method::connection_tune, tune(0, 4)) == std::nullopt);
  CHECK(setup.tuning().max_frame_size == 128 * 1024);
  CHECK(setup.tuning().heartbeat == std::chrono::seconds(4));
  for (const Method method : {Method::connection_open_ok, Method::channel_open_ok, Method::confirm_select_ok,
                              Method::basic_qos_ok, Method::basic_consume_ok}) {
    CHECK(handle(setup, method) == std::nullopt);
  }
  CHECK_FALSE(setup.complete());
  CHECK(handle(setup, Method::basic_consume_ok) == std::nullopt);
  CHECK(setup.complete());
  CHECK(sink.methods == std::vector<Method>{Method::connection_start_ok, Method::connection_tune_ok,
                                            Method::connection_open, Method::channel_open,
                                            Method::confirm_select, Method::basic_qos, Method::basic_consume,
                                            Method::basic_consume});
}

TEST_CASE("AMQP: a failed connection handshake reports its reason") {
  const amqp::BrokerSettings broker = broker_with_two_queues();
  RecordingSink sink;
  amqp::ConnectionSetup setup(broker, sink);
  CHECK(handle(setup, Method::connection_open_ok) == Counter::amqp_out_of_order);
  CHECK(handle(setup, Method::connection_start, start_offering("EXTERNAL")) == Counter::amqp_no_plain_login);
  CHECK(handle(setup, Method::connection_tune, tune(amqp::kMinFrameSize - 1, 0)) ==
        Counter::amqp_frames_too_small);
  CHECK(handle(setup, Method::connection_start) == Counter::amqp_out_of_order);
  CHECK(sink.methods.empty());
}

TEST_CASE("AMQP: a delivery is complete with the last byte of its body") {
  ContentAssembler content(8);
  content.begin_delivery(DeliveryTag{7}, true);
  CHECK(content.add_frame(header_frame(5)) == std::nullopt);
  CHECK(content.add_frame(body_frame("abc")) == std::nullopt);
  CHECK(content.in_progress());
  CHECK_FALSE(content.take_delivery());
  CHECK(content.add_frame(body_frame("de")) == std::nullopt);
  CHECK_FALSE(content.in_progress());
  const auto delivery = content.take_delivery();
  REQUIRE(delivery);
  CHECK(delivery->tag == DeliveryTag{7});
  CHECK(delivery->redelivered);
  CHECK(delivery->body == "abcde");
  CHECK_FALSE(content.take_delivery());
}

TEST_CASE("AMQP: a body over the limit is discarded, and a returned message is not a delivery") {
  ContentAssembler content(2);
  content.begin_delivery(DeliveryTag{1}, false);
  CHECK(content.add_frame(header_frame(3)) == std::nullopt);
  CHECK(content.add_frame(body_frame("abc")) == std::nullopt);
  const auto delivery = content.take_delivery();
  REQUIRE(delivery);
  CHECK(delivery->oversized);
  CHECK(delivery->body.empty());
  content.begin_return();
  CHECK(content.add_frame(header_frame(0)) == std::nullopt);
  CHECK_FALSE(content.in_progress());
  CHECK_FALSE(content.take_delivery());
}

TEST_CASE("AMQP: an unexpected content frame is reported with its reason") {
  ContentAssembler content(8);
  CHECK(content.add_frame(header_frame(1)) == Counter::amqp_stray_content);
  content.begin_delivery(DeliveryTag{1}, false);
  CHECK(content.add_frame(body_frame("a")) == Counter::amqp_malformed);
  CHECK(content.add_frame(header_frame(1)) == std::nullopt);
  CHECK(content.add_frame(header_frame(1)) == Counter::amqp_malformed);
  CHECK(content.add_frame(body_frame("ab")) == Counter::amqp_malformed);
}

}  // namespace
// Guards against content frames on channel 0, from a faulty broker or a peer that is not a broker: content is
// only valid on an open channel.
TEST_CASE("AMQP: content on the connection channel is refused") {
  ContentAssembler content(8);
  content.begin_delivery(DeliveryTag{1}, false);
  SECTION("content header") {
    CHECK(content.add_frame(on_connection_channel(header_frame(3))) == Counter::amqp_stray_content);
  }
  SECTION("content body") {
    CHECK_FALSE(content.add_frame(header_frame(3)));
    CHECK(content.add_frame(on_connection_channel(body_frame("abc"))) == Counter::amqp_stray_content);
  }
  CHECK_FALSE(content.take_delivery());
}

// Guards against treating an answer as confirmed after a truncated publisher confirm.
TEST_CASE("AMQP: a truncated publisher confirm is not accepted") {
  ArgumentWriter whole;
  whole.u64(7).u8(1);
  ArgumentReader complete(whole.bytes());
  const auto confirm = amqp::read_confirm(amqp::PublisherConfirm::Outcome::acked, complete);
  REQUIRE(confirm);
  CHECK(confirm->sequence == amqp::PublishSequence{7});
  CHECK(confirm->multiple);
  const std::string bytes = whole.bytes();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ArgumentReader cut(std::string_view(bytes).substr(0, size));
    CHECK_FALSE(amqp::read_confirm(amqp::PublisherConfirm::Outcome::acked, cut));
  }
}

// Guards against two calls that share an answer: the key of a call without a message id is derived from its
// reply address and begins with a line feed, as a message id may also do.
TEST_CASE("AMQP: a message id never equals the key of a call without one") {
  amqp::BasicProperties without_id;
  without_id.reply_to = "q";
  without_id.correlation_id = "c";
  const amqp::CallKey derived = amqp::call_key(without_id);
  const std::string id =
      GENERATE(std::string("\nq\nc"), std::string("\r\nq\nc"), std::string("\r"), std::string("m"));
  amqp::BasicProperties with_id = without_id;
  with_id.message_id = id;
  const amqp::CallKey key = amqp::call_key(with_id);
  CHECK(key != derived);
  CHECK(amqp::encode_answer({}, key, {"q", "c"}).message_id == id);
  CHECK(amqp::encode_answer({}, derived, {"q", "c"}).message_id.empty());
}

}  // namespace pathstack::test

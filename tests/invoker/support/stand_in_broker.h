/// A stand-in AMQP 0-9-1 broker with fault injection.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amqp/connection_setup.h"
#include "amqp/content_header.h"
#include "amqp/field_codec.h"
#include "amqp/frame.h"
#include "amqp/method.h"
#include "support/random.h"
#include "support/server.h"

namespace pathstack::test {

/// A broker with one call queue, `calls`, and one reply queue, `answers`. Delivers queued messages, accepts
/// and confirms published answers, and injects faults at random or as set by the test.
class StandInBroker {
 public:
  struct Message {
    amqp::BasicProperties properties;
    std::string body;
    bool redelivered = false;
  };

  /// Fault probabilities, per mille.
  struct Faults {
    unsigned drop = 0;       // connection dropped before or after a published answer
    unsigned redeliver = 0;  // message delivered twice
    unsigned reorder = 0;    // delivery out of queue order
    unsigned nack = 0;       // published answer nacked
  };

  /// The broker's side of one connection.
  class Peer final : public net::Stream {
   public:
    Peer(StandInBroker& broker, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), broker_(broker) {}

    void write_method(amqp::Method method, std::uint16_t channel, const amqp::ArgumentWriter& arguments) {
      write(amqp::encode_method(method, channel, arguments));
    }

    std::map<std::uint64_t, Message> unacked;  // by delivery tag
    std::uint64_t last_delivery_tag = 0;
    std::uint64_t published_count = 0;
    std::size_t prefetch = 0;
    bool consuming = false;

   private:
    static constexpr std::size_t kProtocolHeaderSize = 8;

    StandInBroker& broker_;
    std::string protocol_header_;
    amqp::FrameParser parser_;
    Message incoming_;
    std::string reply_queue_;
    std::uint64_t body_remaining_ = 0;

    void received(std::string_view bytes) override {
      broker_.received_bytes += bytes;
      take_protocol_header(bytes);
      std::vector<amqp::Frame> frames;
      REQUIRE(parser_.take(bytes, frames));
      for (const auto& frame : frames) on_frame(frame);
    }

    void take_protocol_header(std::string_view& bytes) {
      const std::size_t part = std::min(kProtocolHeaderSize - protocol_header_.size(), bytes.size());
      if (part == 0) return;
      protocol_header_.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (protocol_header_.size() < kProtocolHeaderSize) return;
      REQUIRE(protocol_header_ == std::string("AMQP\0\0\x09\x01", kProtocolHeaderSize));
      amqp::ArgumentWriter start;
      start.u8(0).u8(9).table({}).long_string("PLAIN").long_string("en_US");
      write_method(amqp::Method::connection_start, amqp::kConnectionChannel, start);
    }

    void on_frame(const amqp::Frame& frame) {
      switch (frame.type) {
        case amqp::FrameType::heartbeat: return;
        case amqp::FrameType::header: return on_content_header(frame);
        case amqp::FrameType::body: return on_content_body(frame);
        case amqp::FrameType::method: break;
      }
      amqp::ArgumentReader arguments(frame.payload);
      const auto method = static_cast<amqp::Method>(arguments.u32());
      on_method(method, arguments);
    }

    void on_content_header(const amqp::Frame& frame) {
      auto header = amqp::decode_content_header(frame.payload);
      REQUIRE(header);
      body_remaining_ = header->body_size;
      incoming_ = {std::move(header->properties), {}, false};
      if (body_remaining_ == 0) broker_.on_message_published(*this, reply_queue_, incoming_);
    }

    void on_content_body(const amqp::Frame& frame) {
      incoming_.body += frame.payload;
      body_remaining_ -= frame.payload.size();
      if (body_remaining_ == 0) broker_.on_message_published(*this, reply_queue_, incoming_);
    }

    void on_method(amqp::Method method, amqp::ArgumentReader& arguments) {
      using amqp::ArgumentWriter;
      using amqp::Method;
      switch (method) {
        case Method::connection_start_ok: return write_tune();
        case Method::connection_open:
          return write_method(Method::connection_open_ok, amqp::kConnectionChannel,
                              ArgumentWriter().short_string(""));
        case Method::channel_open:
          return write_method(Method::channel_open_ok, amqp::kChannel, ArgumentWriter().long_string(""));
        case Method::confirm_select:
          return write_method(Method::confirm_select_ok, amqp::kChannel, ArgumentWriter());
        case Method::basic_qos: return on_qos(arguments);
        case Method::basic_consume: return on_consume(arguments);
        case Method::basic_cancel: return on_cancel(arguments);
        case Method::basic_publish: return on_publish(arguments);
        case Method::basic_ack: return on_settled(arguments, broker_.acked);
        case Method::basic_reject: return on_settled(arguments, broker_.rejected);
        case Method::connection_close:
          return write_method(Method::connection_close_ok, amqp::kConnectionChannel, ArgumentWriter());
        default: return;
      }
    }

    void write_tune() {
      constexpr std::uint16_t max_channels = 10;
      amqp::ArgumentWriter tune;
      tune.u16(max_channels).u32(amqp::kMinFrameSize).u16(broker_.heartbeat_s);
      write_method(amqp::Method::connection_tune, amqp::kConnectionChannel, tune);
    }

    void on_qos(amqp::ArgumentReader& arguments) {
      arguments.u32();  // prefetch-size
      prefetch = arguments.u16();
      write_method(amqp::Method::basic_qos_ok, amqp::kChannel, amqp::ArgumentWriter());
    }

    void on_consume(amqp::ArgumentReader& arguments) {
      arguments.u16();           // reserved
      arguments.short_string();  // queue
      const std::string consumer_tag = arguments.short_string();
      if (broker_.missing_queues > 0) {
        --broker_.missing_queues;
        return write_not_found();
      }
      write_method(amqp::Method::basic_consume_ok, amqp::kChannel,
                   amqp::ArgumentWriter().short_string(consumer_tag));
      consuming = true;
      broker_.deliver(*this);
    }

    void write_not_found() {
      amqp::ArgumentWriter close;
      close.u16(404).short_string("NOT_FOUND").u16(60).u16(20);
      write_method(amqp::Method::channel_close, amqp::kChannel, close);
    }

    void on_cancel(amqp::ArgumentReader& arguments) {
      consuming = false;
      const std::string consumer_tag = arguments.short_string();
      write_method(amqp::Method::basic_cancel_ok, amqp::kChannel,
                   amqp::ArgumentWriter().short_string(consumer_tag));
    }

    void on_publish(amqp::ArgumentReader& arguments) {
      arguments.u16();           // reserved
      arguments.short_string();  // exchange
      reply_queue_ = arguments.short_string();
    }

    void on_settled(amqp::ArgumentReader& arguments, std::size_t& count) {
      if (unacked.erase(arguments.u64()) == 1) ++count;
      broker_.deliver(*this);
    }

    void ended() override {
      for (auto& [tag, message] : unacked) {
        message.redelivered = true;
        broker_.queue.push_back(std::move(message));
      }
      if (broker_.chance(broker_.faults.reorder)) {
        std::shuffle(broker_.queue.begin(), broker_.queue.end(), broker_.random);
      }
      broker_.server.gone(*this);
    }
  };

  StandInBroker(net::Loop& loop, net::BufferPool& pool, std::uint64_t seed)
      : random(seed), server(loop, pool, *this) {}

  /// Returns true with a probability of `per_mille` / 1000.
  bool chance(unsigned per_mille) { return below(random, 1000) < per_mille; }

  /// Enqueues a call with message id `id` and correlation id "c-" + `id`. `headers` are added to the default
  /// headers and override those of the same name.
  void send(const std::string& id, const std::string& class_name, const std::string& body,
            amqp::FieldTable headers = {}) {
    Message message;
    message.properties.message_id = id;
    message.properties.correlation_id = "c-" + id;
    message.properties.reply_to = "answers";
    message.properties.headers = std::move(headers);
    message.properties.headers.emplace("class", class_name);
    message.properties.headers.emplace("lookup", std::string("00000000000000a1"));
    message.properties.headers.emplace("memory_mb", std::int64_t{300});
    message.properties.headers.emplace("lanes", std::int64_t{4});
    message.body = body;
    enqueue(std::move(message));
  }

  void enqueue(Message&& message) {
    queue.push_back(std::move(message));
    for (const auto& peer : server.peers) deliver(*peer);
  }

  void drop_connections() {
    dropped_connections += server.peers.size();
    for (const auto& peer : server.peers) peer->end_later();
  }

  /// Delivers queued messages up to the consumer's prefetch limit.
  void deliver(Peer& peer) {
    while (peer.consuming && peer.open() && !queue.empty() && peer.unacked.size() < peer.prefetch) {
      const std::size_t pick = chance(faults.reorder) ? below(random, queue.size()) : 0;
      Message message = std::move(queue[pick]);
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(pick));
      write_delivery(peer, message);
      peer.unacked[peer.last_delivery_tag] = message;
      if (!chance(faults.redeliver)) continue;
      message.redelivered = true;  // redelivered under a new tag, as a broker does on recovery
      write_delivery(peer, message);
    }
  }

  /// Accepts a published answer. Fault injection may drop the connection before the answer is stored, before
  /// its confirm is sent, or before the client's acknowledgement of the delivery arrives.
  void on_message_published(Peer& peer, const std::string& reply_queue, const Message& answer) {
    if (chance(faults.drop / 2)) return drop(peer);
    const std::uint64_t sequence = ++peer.published_count;
    if (chance(faults.nack)) return write_confirm(peer, amqp::Method::basic_nack, sequence);
    REQUIRE(reply_queue == "answers");
    answers.push_back(answer);
    answers_by_correlation_id[answer.properties.correlation_id].push_back(answer);
    if (chance(faults.drop / 2)) return drop(peer);
    if (withholds_confirms) return;
    write_confirm(peer, amqp::Method::basic_ack, sequence);
    if (!chance(faults.drop / 2)) return;
    peer.flush_now();
    drop(peer);
  }

  /// The answers to the call with message id `id`, found by correlation id.
  std::vector<Message>& answers_to(const std::string& id) { return answers_by_correlation_id["c-" + id]; }

  Random random;
  Server<Peer, StandInBroker> server;
  Faults faults;
  std::deque<Message> queue;
  std::vector<Message> answers;  // in order of arrival
  std::map<std::string, std::vector<Message>> answers_by_correlation_id;
  std::string received_bytes;  // from all peers, in order of arrival
  std::size_t acked = 0, rejected = 0, dropped_connections = 0;
  std::uint16_t heartbeat_s = 0;  // offered in connection.tune; this broker never sends heartbeats
  int missing_queues = 0;         // number of basic.consume still to be refused with NOT_FOUND
  bool withholds_confirms = false;

 private:
  void drop(Peer& peer) {
    ++dropped_connections;
    peer.end_later();
  }

  void write_confirm(Peer& peer, amqp::Method method, std::uint64_t sequence) {
    peer.write_method(method, amqp::kChannel, amqp::ArgumentWriter().u64(sequence).u8(0));
  }

  void write_delivery(Peer& peer, const Message& message) {
    constexpr std::size_t body_frame_size = 4000;
    ++peer.last_delivery_tag;
    amqp::ArgumentWriter deliver;
    deliver.short_string("t");  // consumer tag
    deliver.u64(peer.last_delivery_tag);
    deliver.u8(message.redelivered ? 1 : 0);
    deliver.short_string("");  // exchange
    deliver.short_string("calls");
    peer.write_method(amqp::Method::basic_deliver, amqp::kChannel, deliver);
    const std::string header = amqp::encode_content_header(message.body.size(), message.properties);
    peer.write(amqp::encode_frame(amqp::FrameType::header, amqp::kChannel, header));
    const std::string_view body = message.body;
    for (std::size_t at = 0; at < body.size(); at += body_frame_size) {
      const std::string_view part = body.substr(at, body_frame_size);
      peer.write(amqp::encode_frame(amqp::FrameType::body, amqp::kChannel, part));
    }
  }
};

/// Returns the status header of an answer: OK, BUSY or FAILED.
inline std::string status_of(const StandInBroker::Message& answer) {
  return std::get<std::string>(answer.properties.headers.at("word"));
}

}  // namespace pathstack::test

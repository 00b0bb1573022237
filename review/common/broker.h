/// A stand-in for an AMQP 0-9-1 broker with one queue of calls and one queue of answers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "amqp/connection_setup.h"
#include "amqp/content_header.h"
#include "amqp/field_codec.h"
#include "amqp/frame.h"
#include "amqp/method.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/stream.h"
#include "record.h"

namespace pathstack::review {

/// Delivers each message once per connection, in order, up to the prefetch limit. Hands an answer to the
/// client at once and confirms it after `confirm_delay`, as a broker does that first writes it to a disk.
class Broker final : public net::Handler {
 public:
  struct Message {
    amqp::BasicProperties properties;
    std::string body;
    bool redelivered = false;
    std::string queue;       // of an answer: where it was published to
    std::string raw_header;  // the content header as the client encoded it; empty: encoded from `properties`
  };

  Broker(net::Loop& loop, net::BufferPool& pool, Record& record, net::Millis confirm_delay)
      : loop_(loop),
        pool_(pool),
        record_(record),
        confirm_delay_(confirm_delay),
        listener_(net::listen_on("127.0.0.1:0").socket) {
    if (!listener_) throw std::runtime_error("cannot listen");
    address_ = net::bound_address(listener_);
    loop_.watch(listener_.fd(), *this, POLLIN);
  }
  ~Broker() override { loop_.unwatch(listener_.fd(), *this); }
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;

  const std::string& address() const { return address_; }
  /// Called when a message is handed to a consumer, when a consumer acknowledges it, and with each answer.
  std::function<void(const Message&)> on_delivered, on_acked, on_answer;
  /// True while a consumer is connected.
  bool has_consumer() const { return consumer_ != nullptr; }

  void send(Message&& message) {
    queue_.push_back(std::move(message));
    deliver();
  }

  void ready(short) override {
    while (true) {
      net::AcceptResult result = net::accept_from(listener_);
      if (result.status == net::AcceptStatus::connection_failed) continue;
      if (result.status != net::AcceptStatus::accepted) return;
      peers_.push_back(std::make_shared<Peer>(*this, std::move(result.socket)));
    }
  }

 private:
  class Peer final : public net::Stream, public std::enable_shared_from_this<Peer> {
   public:
    Peer(Broker& broker, net::Socket socket)
        : Stream(broker.loop_, broker.pool_, std::move(socket), false), broker_(broker) {}

    void write_method(amqp::Method method, std::uint16_t channel, const amqp::ArgumentWriter& arguments) {
      write(amqp::encode_method(method, channel, arguments));
    }
    std::map<std::uint64_t, Message> unacked;  // by delivery tag
    std::uint64_t last_tag = 0, published = 0;
    std::size_t prefetch = 1;

   private:
    Broker& broker_;
    std::string protocol_header_;
    amqp::FrameParser parser_;
    Message incoming_;
    std::string reply_queue_;
    std::uint64_t body_left_ = 0;

    void received(std::string_view bytes) override {
      constexpr std::size_t header_size = 8;
      const std::size_t part = std::min(header_size - protocol_header_.size(), bytes.size());
      protocol_header_.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (part > 0 && protocol_header_.size() == header_size) {
        amqp::ArgumentWriter start;
        start.u8(0).u8(9).table({}).long_string("PLAIN").long_string("en_US");
        write_method(amqp::Method::connection_start, amqp::kConnectionChannel, start);
      }
      std::vector<amqp::Frame> frames;
      if (!parser_.take(bytes, frames)) return end_later();
      for (const auto& frame : frames) on_frame(frame);
    }

    void on_frame(const amqp::Frame& frame) {
      if (frame.type == amqp::FrameType::method) {
        amqp::ArgumentReader arguments(frame.payload);
        const auto method = static_cast<amqp::Method>(arguments.u32());
        return on_method(method, arguments);
      }
      if (frame.type == amqp::FrameType::header) {
        auto header = amqp::decode_content_header(frame.payload);
        if (!header) return end_later();
        body_left_ = header->body_size;
        incoming_ = {std::move(header->properties), {}, false, reply_queue_, {}};
      } else if (frame.type == amqp::FrameType::body) {
        incoming_.body += frame.payload;
        body_left_ -= frame.payload.size();
      } else {
        return;
      }
      if (body_left_ == 0) broker_.published(shared_from_this(), incoming_);
    }

    void on_method(amqp::Method method, amqp::ArgumentReader& arguments) {
      using amqp::ArgumentWriter;
      using amqp::Method;
      const std::uint16_t channel = amqp::kChannel;
      switch (method) {
        case Method::connection_start_ok:
          return write_method(Method::connection_tune, amqp::kConnectionChannel,
                              ArgumentWriter().u16(10).u32(amqp::kMinFrameSize).u16(0));
        case Method::connection_open:
          return write_method(Method::connection_open_ok, amqp::kConnectionChannel,
                              ArgumentWriter().short_string(""));
        case Method::channel_open:
          return write_method(Method::channel_open_ok, channel, ArgumentWriter().long_string(""));
        case Method::confirm_select: return write_method(Method::confirm_select_ok, channel, {});
        case Method::basic_qos:
          arguments.u32();
          prefetch = arguments.u16();
          return write_method(Method::basic_qos_ok, channel, {});
        case Method::basic_consume: {
          arguments.u16();
          arguments.short_string();
          const std::string tag = arguments.short_string();
          write_method(Method::basic_consume_ok, channel, ArgumentWriter().short_string(tag));
          broker_.consumer_ = this;
          return broker_.deliver();
        }
        case Method::basic_publish:
          arguments.u16();
          arguments.short_string();
          reply_queue_ = arguments.short_string();
          return;
        case Method::basic_ack: {
          const auto found = unacked.find(arguments.u64());
          if (found == unacked.end()) return;
          const Message message = std::move(found->second);
          unacked.erase(found);
          broker_.on_acked(message);
          return broker_.deliver();
        }
        case Method::connection_close:
          return write_method(Method::connection_close_ok, amqp::kConnectionChannel, {});
        default: return;
      }
    }

    void ended() override { broker_.gone(*this); }
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  net::Millis confirm_delay_;
  net::Socket listener_;
  std::string address_;
  std::list<std::shared_ptr<Peer>> peers_;
  std::deque<Message> queue_;
  Peer* consumer_ = nullptr;

  void gone(Peer& peer) {
    if (consumer_ == &peer) consumer_ = nullptr;
    for (auto i = peer.unacked.rbegin(); i != peer.unacked.rend(); ++i) {
      i->second.redelivered = true;
      queue_.push_front(std::move(i->second));  // to its old place
    }
    for (auto i = peers_.begin(); i != peers_.end(); ++i) {
      if (i->get() != &peer) continue;
      loop_.defer_destruction(*i);
      peers_.erase(i);
      return;
    }
  }

  void published(const std::shared_ptr<Peer>& peer, const Message& answer) {
    const std::uint64_t sequence = ++peer->published;
    on_answer(answer);
    loop_.at(loop_.now() + confirm_delay_,
             [this, weak = std::weak_ptr<Peer>(peer), sequence, id = answer.properties.correlation_id] {
               const auto alive = weak.lock();
               if (!alive) return;
               record_.line("broker confirms answer " + id);
               alive->write_method(amqp::Method::basic_ack, amqp::kChannel,
                                   amqp::ArgumentWriter().u64(sequence).u8(0));
             });
  }

  void deliver() {
    while (consumer_ != nullptr && !queue_.empty() && consumer_->unacked.size() < consumer_->prefetch) {
      const Message message = std::move(queue_.front());
      queue_.pop_front();
      const std::uint64_t tag = ++consumer_->last_tag;
      amqp::ArgumentWriter deliver;
      deliver.short_string("t")
          .u64(tag)
          .u8(message.redelivered ? 1 : 0)
          .short_string("")
          .short_string("calls");
      consumer_->write_method(amqp::Method::basic_deliver, amqp::kChannel, deliver);
      const bool is_raw = !message.raw_header.empty();
      const std::string header =
          is_raw ? message.raw_header : amqp::encode_content_header(message.body.size(), message.properties);
      consumer_->write(amqp::encode_frame(amqp::FrameType::header, amqp::kChannel, header));
      if (!message.body.empty()) {
        consumer_->write(amqp::encode_frame(amqp::FrameType::body, amqp::kChannel, message.body));
      }
      consumer_->unacked[tag] = message;
      on_delivered(message);
    }
  }
};

}  // namespace pathstack::review

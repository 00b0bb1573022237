/// A stand-in for a worker host: speaks the line protocol of PROTOCOL-pathstack.md.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include "hosts/line_parser.h"
#include "net/fields.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/stream.h"
#include "record.h"

namespace pathstack::review {

using Millis = net::Millis;

/// How a worker behaves.
struct WorkerSettings {
  int slots = 4;               // calls that run at a time
  std::size_t queue = 4;       // calls that wait; more are answered `full`
  Millis run{100};             // of each call
  Millis load{150};            // of a function
  bool loads_on_call = false;  // loads a function that a call needs; else answers `absent`
};

/// Serves calls with the body that came with them. All times go by the loop.
class Worker final : public net::Handler {
 public:
  Worker(net::Loop& loop, net::BufferPool& pool, Record& record, std::string name, WorkerSettings settings)
      : loop_(loop),
        pool_(pool),
        record_(record),
        name_(std::move(name)),
        settings_(settings),
        listener_(net::listen_on("127.0.0.1:0").socket) {
    if (!listener_) throw std::runtime_error("cannot listen");
    address_ = net::bound_address(listener_);
    loop_.watch(listener_.fd(), *this, POLLIN);
  }
  ~Worker() override {
    if (listener_) loop_.unwatch(listener_.fd(), *this);
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& address() const { return address_; }
  const std::string& name() const { return name_; }
  /// Decides what happens to a call that has come whole: true to go on as usual. The default goes on.
  std::function<bool(Worker&, const std::string& ref)> on_call;
  /// Whether a function exists; calls of others are answered `failed`. All do by default.
  std::function<bool(const std::string& function)> knows;

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
    Peer(Worker& worker, net::Socket socket)
        : Stream(worker.loop_, worker.pool_, std::move(socket), false), worker_(worker) {}
    std::set<std::string> open;  // calls that were neither answered nor dropped

   private:
    Worker& worker_;
    hosts::LineParser parser_;  // a request has the form of an answer, with the verb in place of the id

    void received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      const bool readable = parser_.take(bytes, lines);
      for (const auto& line : lines) worker_.handle(shared_from_this(), line);
      if (!readable) end_later();
    }
    void ended() override { worker_.gone(*this); }
  };
  struct Waiting {
    std::weak_ptr<Peer> peer;
    std::string ref, body;
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  Record& record_;
  std::string name_;
  WorkerSettings settings_;
  net::Socket listener_;
  std::string address_;
  std::list<std::shared_ptr<Peer>> peers_;
  std::set<std::string> loaded_;
  std::deque<Waiting> queue_;
  int running_ = 0;

  void gone(Peer& peer) {
    for (auto i = peers_.begin(); i != peers_.end(); ++i) {
      if (i->get() != &peer) continue;
      loop_.defer_destruction(*i);
      peers_.erase(i);
      return;
    }
  }

  void handle(const std::shared_ptr<Peer>& peer, const hosts::Reply& line) {
    if (line.id == "exec") return take_call(peer, line);
    if (line.id == "health" || line.id == "load") return peer->write(line.word + " well - 0\r\n\r\n");
    if (line.id == "drop") {
      peer->open.erase(line.word);
      return record_.line(name_ + " drop " + line.word);
    }
    if (line.id == "ensure") return take_order(peer, line);
  }

  void take_order(const std::shared_ptr<Peer>& peer, const hosts::Reply& line) {
    const std::string function = net::field(net::parse_fields(line.fields).value_or(net::Fields{}), "asset");
    const bool known = !knows || knows(function);
    if (!known) return peer->write(line.word + " failed count=0 0\r\n\r\n");
    const bool loads = loaded_.count(function) == 0;
    loop_.at(loop_.now() + (loads ? settings_.load : Millis(0)),
             [this, weak = std::weak_ptr<Peer>(peer), tag = line.word, function] {
               loaded_.insert(function);
               if (const auto alive = weak.lock()) alive->write(tag + " data count=1 0\r\n\r\n");
             });
  }

  void take_call(const std::shared_ptr<Peer>& peer, const hosts::Reply& line) {
    record_.line(name_ + " exec " + line.word);
    peer->open.insert(line.word);
    if (on_call && !on_call(*this, line.word)) return;
    const std::string function = net::field(net::parse_fields(line.fields).value_or(net::Fields{}), "asset");
    if (loaded_.count(function) == 0 && !settings_.loads_on_call)
      return answer(peer, line.word, "absent", "");
    if (queue_.size() >= settings_.queue) return answer(peer, line.word, "full", "");
    const bool loads = loaded_.count(function) == 0;
    const Waiting call{peer, line.word, line.body.value_or("")};
    if (!loads) return enqueue(call);
    loop_.at(loop_.now() + settings_.load, [this, call, function] {
      loaded_.insert(function);
      enqueue(call);
    });
  }

  void enqueue(const Waiting& call) {
    queue_.push_back(call);
    start_next();
  }

  void start_next() {
    while (running_ < settings_.slots && !queue_.empty()) {
      const Waiting next = queue_.front();
      queue_.pop_front();
      const auto peer = next.peer.lock();
      if (!peer || peer->open.count(next.ref) == 0) continue;
      ++running_;
      record_.line(name_ + " run " + next.ref);
      loop_.at(loop_.now() + settings_.run, [this, next] {
        --running_;
        const auto waits = next.peer.lock();
        if (waits && waits->open.count(next.ref) != 0) answer(waits, next.ref, "data", next.body);
        start_next();
      });
    }
  }

  void answer(const std::shared_ptr<Peer>& peer, const std::string& ref, const std::string& word,
              const std::string& body) {
    record_.line(name_ + " answer " + ref + ' ' + word);
    peer->open.erase(ref);
    peer->write(ref + ' ' + word + " - " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }
};

}  // namespace pathstack::review

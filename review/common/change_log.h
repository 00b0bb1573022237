/// A stand-in for the change log: knows one event, the list of hosts, and writes its number each second.
#pragma once

#include <list>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/loop.h"
#include "net/socket.h"
#include "net/stream.h"

namespace pathstack::review {

/// Answers `since N` with the last number, at once and then each second.
class ChangeLog final : public net::Handler {
 public:
  ChangeLog(net::Loop& loop, net::BufferPool& pool)
      : loop_(loop), pool_(pool), listener_(net::listen_on("127.0.0.1:0").socket) {
    if (!listener_) throw std::runtime_error("cannot listen");
    address_ = net::bound_address(listener_);
    loop_.watch(listener_.fd(), *this, POLLIN);
    write_number();
  }
  ~ChangeLog() override {
    loop_.cancel(timer_);
    loop_.unwatch(listener_.fd(), *this);
  }
  ChangeLog(const ChangeLog&) = delete;
  ChangeLog& operator=(const ChangeLog&) = delete;

  const std::string& address() const { return address_; }

  void ready(short) override {
    while (true) {
      net::AcceptResult result = net::accept_from(listener_);
      if (result.status == net::AcceptStatus::connection_failed) continue;
      if (result.status != net::AcceptStatus::accepted) return;
      peers_.push_back(std::make_shared<Peer>(*this, std::move(result.socket)));
    }
  }

 private:
  class Peer final : public net::Stream {
   public:
    Peer(ChangeLog& log, net::Socket socket)
        : Stream(log.loop_, log.pool_, std::move(socket), false), log_(log) {}

   private:
    ChangeLog& log_;
    void received(std::string_view) override { write("1\n"); }
    void ended() override {
      for (auto i = log_.peers_.begin(); i != log_.peers_.end(); ++i) {
        if (i->get() != this) continue;
        log_.loop_.defer_destruction(*i);
        log_.peers_.erase(i);
        return;
      }
    }
  };

  net::Loop& loop_;
  net::BufferPool& pool_;
  net::Socket listener_;
  std::string address_;
  std::list<std::shared_ptr<Peer>> peers_;
  net::Loop::TimerId timer_{};

  void write_number() {
    for (const auto& peer : peers_) peer->write("1\n");
    timer_ = loop_.at(loop_.now() + net::Millis(1000), [this] { write_number(); });
  }
};

}  // namespace pathstack::review

/// Listening socket of a simulated peer.
#pragma once

#include <poll.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/loop.h"
#include "net/socket.h"

namespace pathstack::soak {

/// Accepts connections on an address that stays the same when the listener is closed and reopened. Must be
/// destroyed before the loop.
class Listener final : public net::Handler {
 public:
  using OnAccept = std::function<void(net::Socket)>;

  /// Listens on 127.0.0.1, on a port chosen by the kernel. Throws std::runtime_error if that fails.
  Listener(net::Loop& loop, OnAccept on_accept) : loop_(loop), on_accept_(std::move(on_accept)) {
    open("127.0.0.1:0");
    address_ = net::bound_address(socket_);
  }
  ~Listener() override { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const std::string& address() const { return address_; }

  /// Refuses connections until `reopen`.
  void close() {
    if (!socket_) return;
    loop_.unwatch(socket_.fd(), *this);
    socket_.close();
  }
  /// Listens again on the same address; no effect if open. Throws std::runtime_error if that fails.
  void reopen() {
    if (!socket_) open(address_);
  }

  void ready(short) override {
    while (socket_) {
      net::AcceptResult result = net::accept_from(socket_);
      if (result.status == net::AcceptStatus::connection_failed) continue;
      if (result.status != net::AcceptStatus::accepted) return;
      on_accept_(std::move(result.socket));
    }
  }

 private:
  net::Loop& loop_;
  OnAccept on_accept_;
  net::Socket socket_;
  std::string address_;

  void open(const std::string& address) {
    net::ListenResult result = net::listen_on(address);
    if (!result.socket)
      throw std::runtime_error("cannot listen on " + address + ": " + result.error.message());
    socket_ = std::move(result.socket);
    loop_.watch(socket_.fd(), *this, POLLIN);
  }
};

}  // namespace pathstack::soak

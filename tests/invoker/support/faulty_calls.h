/// System calls that fail at random, for the sockets of the invoker only.
#pragma once

#include <netinet/in.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/system_calls.h"
#include "support/random.h"

namespace pathstack::test {

/// Makes calls of the invoker fail at random from a seed, with errors that Linux documents, and passes all
/// other calls to the kernel. The invoker shares the process with stand-ins; its sockets are those accepted
/// on the front's port and those opened outside `without_faults`. The first call of each kind always fails,
/// so that every run has each fault. The first accept fails while no client is connected, so that no end of a
/// connection can trigger a retry of it.
class FaultyCalls final : public net::SystemCalls {
 public:
  /// Probabilities per mille.
  struct Rates {
    unsigned accept = 150, socket = 150, connect = 150, poll = 40;
    unsigned interrupted = 30, cut_short = 100;  // of reads and writes
    unsigned broken = 5;                         // of reads and writes on connections to hosts
  };
  /// The number of calls that failed, by kind as in `Rates`.
  struct Counts {
    std::uint64_t accept = 0, socket = 0, connect = 0, poll = 0, interrupted = 0, cut_short = 0, broken = 0;
  };

  FaultyCalls(std::uint64_t seed, const Rates& rates, const std::string& front_address)
      : random_(seed),
        rates_(rates),
        front_port_(std::stoi(front_address.substr(front_address.rfind(':') + 1))) {}

  /// Runs `open_sockets` and returns its result; calls on the sockets that it opens never fail.
  template <typename OpenSockets>
  auto without_faults(const OpenSockets& open_sockets) {
    faults_suspended_ = true;
    auto result = open_sockets();
    faults_suspended_ = false;
    return result;
  }
  const Counts& counts() const { return counts_; }
  /// The number of polls that did not fail; each of them reports every descriptor that is readable.
  std::uint64_t polls() const { return polls_; }

  int socket(int domain, int type, int protocol) override {
    if (!faults_suspended_ && is_due(counts_.socket, rates_.socket))
      return fail(counts_.socket, {ENFILE, EMFILE, ENOBUFS});
    const int fd = SystemCalls::socket(domain, type, protocol);
    forget(fd);
    return fd;
  }
  int connect(int fd, const sockaddr* address, socklen_t size) override {
    if (faults_suspended_) return SystemCalls::connect(fd, address, size);
    if (is_due(counts_.connect, rates_.connect))
      return fail(counts_.connect, {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS});
    host_connections_.insert(fd);
    return SystemCalls::connect(fd, address, size);
  }
  int accept(int fd, int flags) override {
    const bool front = is_front_listener(fd);
    if (front && counts_.accept == 0) return fail_accept({ENOBUFS});
    if (front && consecutive_accept_failures_ < kMaxConsecutiveFailures &&
        is_due(counts_.accept, rates_.accept)) {
      return fail_accept({ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM});
    }
    if (front) consecutive_accept_failures_ = 0;
    const int accepted = SystemCalls::accept(fd, flags);
    forget(accepted);
    if (front && accepted >= 0) client_connections_.insert(accepted);
    return accepted;
  }
  ssize_t receive(int fd, void* buffer, std::size_t size) override {
    if (fails(fd)) return -1;
    return SystemCalls::receive(fd, buffer, shorten(fd, size));
  }
  ssize_t send(int fd, const void* bytes, std::size_t size) override {
    if (fails(fd)) return -1;
    return SystemCalls::send(fd, bytes, shorten(fd, size));
  }
  int poll(pollfd* descriptors, nfds_t count, int timeout_ms) override {
    if (is_due(counts_.poll, rates_.poll)) return fail(counts_.poll, {EINTR});
    ++polls_;
    return SystemCalls::poll(descriptors, count, timeout_ms);
  }

 private:
  // More failed accepts in a row would delay a connection so long that its calls cannot be answered in time.
  static constexpr int kMaxConsecutiveFailures = 2;
  Random random_;
  Rates rates_;
  Counts counts_;
  int front_port_;
  bool faults_suspended_ = false;
  int consecutive_accept_failures_ = 0;
  std::uint64_t polls_ = 0;
  std::set<int> host_connections_, client_connections_;

  bool is_due(std::uint64_t failed_before, unsigned per_mille) {
    return failed_before == 0 || below(random_, 1000) < per_mille;
  }
  int fail(std::uint64_t& count, const std::vector<int>& errors) {
    ++count;
    errno = errors[below(random_, errors.size())];
    return -1;
  }
  int fail_accept(const std::vector<int>& errors) {
    ++consecutive_accept_failures_;
    return fail(counts_.accept, errors);
  }
  // A new descriptor may reuse the number of a closed one.
  void forget(int fd) {
    host_connections_.erase(fd);
    client_connections_.erase(fd);
  }
  bool is_front_listener(int listener) const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) return false;
    return ntohs(address.sin_port) == front_port_;
  }
  bool is_invoker_socket(int fd) const {
    return host_connections_.count(fd) != 0 || client_connections_.count(fd) != 0;
  }
  bool fails(int fd) {
    if (!is_invoker_socket(fd)) return false;
    if (host_connections_.count(fd) != 0 && is_due(counts_.broken, rates_.broken)) {
      fail(counts_.broken, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
      return true;
    }
    if (!is_due(counts_.interrupted, rates_.interrupted)) return false;
    fail(counts_.interrupted, {EINTR});
    return true;
  }
  std::size_t shorten(int fd, std::size_t size) {
    if (size < 2 || !is_invoker_socket(fd) || !is_due(counts_.cut_short, rates_.cut_short)) return size;
    ++counts_.cut_short;
    return 1 + below(random_, std::min<std::size_t>(size - 1, 100));
  }
};

}  // namespace pathstack::test

/// System calls that fail as scripted by a test, for connections that the program opens itself.
#pragma once

#include <cerrno>
#include <set>

#include "net/system_calls.h"

namespace pathstack::test {

/// Passes all calls to the kernel except those that the members make fail. `receive` and `send` fail only on
/// descriptors that were connected with `connect`, never on connections accepted by stand-in servers.
class ScriptedCalls final : public net::SystemCalls {
 public:
  int connect_error = 0;            // of all connects, or of as many as `connect_faults` says
  int connect_faults = -1;          // number of connects that still fail; negative: all
  int socket_error = 0;             // of all calls of socket()
  bool interrupt_connects = false;  // the connect proceeds but reports EINTR
  int receive_error = 0, send_error = 0;
  int connects = 0, sockets = 0;  // number of calls, including failed ones

  int socket(int domain, int type, int protocol) override {
    ++sockets;
    return socket_error == 0 ? SystemCalls::socket(domain, type, protocol) : failed(socket_error);
  }
  int connect(int fd, const sockaddr* address, socklen_t size) override {
    ++connects;
    if (connect_error != 0 && connect_faults != 0) {
      if (connect_faults > 0) --connect_faults;
      return failed(connect_error);
    }
    connected_.insert(fd);
    const int result = SystemCalls::connect(fd, address, size);
    return interrupt_connects ? failed(EINTR) : result;
  }
  int accept(int fd, int flags) override {
    const int accepted = SystemCalls::accept(fd, flags);
    connected_.erase(accepted);  // the descriptor may be reused from a closed connection
    return accepted;
  }
  ssize_t receive(int fd, void* buffer, std::size_t size) override {
    const bool fails = receive_error != 0 && connected_.count(fd) > 0;
    return fails ? failed(receive_error) : SystemCalls::receive(fd, buffer, size);
  }
  ssize_t send(int fd, const void* bytes, std::size_t size) override {
    const bool fails = send_error != 0 && connected_.count(fd) > 0;
    return fails ? failed(send_error) : SystemCalls::send(fd, bytes, size);
  }

 private:
  std::set<int> connected_;

  static int failed(int error) {
    errno = error;
    return -1;
  }
};

}  // namespace pathstack::test

// An owned descriptor, and the few ways in which the program opens one. All are non-blocking.
#pragma once

#include <string>
#include <system_error>
#include <utility>

namespace pathstack::net {

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  int fd() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void close();

 private:
  int fd_ = -1;
};

struct ListenResult {
  Socket socket;          // empty on an error
  std::error_code error;  // of socket(2), bind(2) or listen(2); invalid_argument for a faulty address
};

// Numeric addresses only, as host:port or [host]:port.
ListenResult listen_on(const std::string& address);
/// True for an error of listen_on that may be over in a moment: a lack of descriptors or memory, or an
/// address that is still in use or not yet configured.
bool is_transient_listen_error(const std::error_code& error);

/// Why no connection was begun.
enum class ConnectFault {
  none,
  /// This machine had no descriptor, port, memory or route for it: says nothing of the peer.
  local,
  /// The peer or the network on the way to it has refused.
  remote,
  /// The address can't be read.
  address
};

struct ConnectResult {
  Socket socket;  // empty unless `fault` is none
  ConnectFault fault = ConnectFault::none;
};

/// Begins a connection; the socket is writable once it is decided.
ConnectResult begin_connect(const std::string& address);
/// The same for callers that wait and try again whatever the fault was: an empty Socket.
Socket connect_to(const std::string& address);

/// What one accept(2) came to.
enum class AcceptStatus {
  accepted,
  none_waiting,
  connection_failed,  // the error belongs to that connection: the next one can be accepted at once
  retry_later,        // no descriptor or memory: the connection stays in the kernel's queue
};

struct AcceptResult {
  AcceptStatus status = AcceptStatus::none_waiting;
  Socket socket;  // empty unless `status` is accepted
};

AcceptResult accept_from(const Socket& listener);
int pending_error(const Socket& socket);  // of a connect that was decided
std::string bound_address(const Socket& listener);
bool valid_address(const std::string& address);

}  // namespace pathstack::net

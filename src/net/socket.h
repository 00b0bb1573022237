/// Owned descriptors and functions that open TCP sockets. All sockets are non-blocking and close-on-exec.
/// Addresses are numeric, as host:port or [host]:port; names are not resolved, as that would block the event
/// loop.
#pragma once

#include <string>
#include <system_error>
#include <utility>

namespace pathstack::net {

/// Owns a descriptor and closes it on destruction. A descriptor that the event loop watches must be unwatched
/// first.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }

  /// The descriptor, or a negative value if there is none.
  int fd() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  /// Closes the descriptor. No effect if there is none.
  void close();

 private:
  int fd_ = -1;
};

/// A listening socket, or the reason why there is none.
struct ListenResult {
  Socket socket;          // empty on an error
  std::error_code error;  // of socket(2), bind(2) or listen(2); invalid_argument for a malformed address
};

/// Opens a listening socket; for port 0 the kernel chooses a port. Sets SO_REUSEADDR, so that a restart need
/// not wait for connections of the previous process to time out.
ListenResult listen_on(const std::string& address);

/// True if an error of `listen_on` may pass soon: a lack of descriptors or memory, or an address that is
/// still in use or not yet configured.
bool is_transient_listen_error(const std::error_code& error);

/// The reason why no connect was started.
enum class ConnectFault {
  none,
  /// This machine had no descriptor, port, memory or route. Says nothing about the peer.
  local,
  /// The peer, or the network on the path to it, refused the connection.
  remote,
  /// The address is malformed.
  address
};

/// A connecting socket, or the reason why there is none.
struct ConnectResult {
  Socket socket;  // empty unless `fault` is none
  ConnectFault fault = ConnectFault::none;
};

/// Starts a connect. The socket becomes writable when the connect succeeds or fails; `pending_error` tells
/// which.
ConnectResult begin_connect(const std::string& address);

/// As `begin_connect`, for callers that retry with backoff after any fault. Returns an empty socket on a
/// fault.
Socket connect_to(const std::string& address);

/// The result of one accept(2).
enum class AcceptStatus {
  accepted,
  none_waiting,
  connection_failed,  // an error of this connection: the next one can be accepted immediately
  retry_later,        // no descriptor or memory: the connection stays in the backlog of the kernel
};

/// An accepted connection, or the reason why there is none.
struct AcceptResult {
  AcceptStatus status = AcceptStatus::none_waiting;
  Socket socket;  // empty unless `status` is accepted
};

/// Accepts one pending connection without blocking.
AcceptResult accept_from(const Socket& listener);

/// Returns and clears the `errno` with which a connect failed; 0 if it succeeded.
int pending_error(const Socket& socket);

/// The address to which a listener is bound; empty on an error.
std::string bound_address(const Socket& listener);

/// True if `address` is a numeric address in one of the forms host:port and [host]:port.
bool valid_address(const std::string& address);

}  // namespace pathstack::net

// Owned descriptors, and the ways in which the program opens TCP sockets. All sockets are non-blocking and
// closed on exec. Addresses are numeric, as host:port or [host]:port; names are never looked up, as that
// would block the loop.
#pragma once

#include <string>
#include <system_error>
#include <utility>

namespace pathstack::net {

/// Owns a descriptor and closes it. Whoever has the loop watch it has to forget it first.
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

  /// The descriptor; negative if there is none.
  int fd() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  /// Closes the descriptor now; no effect if there is none.
  void close();

 private:
  int fd_ = -1;
};

/// A listening socket, or why there is none.
struct ListenResult {
  Socket socket;          // empty on an error
  std::error_code error;  // of socket(2), bind(2) or listen(2); invalid_argument for a faulty address
};

/// Opens a listener; port 0 has the kernel choose one. Sets SO_REUSEADDR, so that a restart need not wait for
/// connections of the last process to time out.
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

/// A connection that was begun, or why there is none.
struct ConnectResult {
  Socket socket;  // empty unless `fault` is none
  ConnectFault fault = ConnectFault::none;
};

/// Begins a connection; the socket is writable once it is made or has failed, see `pending_error`.
ConnectResult begin_connect(const std::string& address);

/// The same for callers that retry with backoff whatever the fault was: an empty socket stands for any.
Socket connect_to(const std::string& address);

/// What one accept(2) came to.
enum class AcceptStatus {
  accepted,
  none_waiting,
  connection_failed,  // the error belongs to that connection: the next one can be accepted at once
  retry_later,        // no descriptor or memory: the connection stays in the kernel's queue
};

/// An accepted connection, or why there is none.
struct AcceptResult {
  AcceptStatus status = AcceptStatus::none_waiting;
  Socket socket;  // empty unless `status` is accepted
};

/// Accepts one connection that is waiting; doesn't wait for one.
AcceptResult accept_from(const Socket& listener);

/// The `errno` with which a connection attempt has failed; 0 if it succeeded. Clears it.
int pending_error(const Socket& socket);

/// The address to which a listener is bound; empty if the kernel doesn't say.
std::string bound_address(const Socket& listener);

/// True if `address` has the form that this module reads.
bool valid_address(const std::string& address);

}  // namespace pathstack::net

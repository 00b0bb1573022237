#include "net/socket.h"

#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

#include "net/system_calls.h"

namespace pathstack::net {
namespace {

constexpr int kListenBacklog = 512;  // connections that the kernel completes before the program accepts them

using Addresses = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

Addresses resolve(const std::string& address, int flags) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return {nullptr, &freeaddrinfo};
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | flags;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (getaddrinfo(host.c_str(), address.substr(colon + 1).c_str(), &hints, &found) != 0) found = nullptr;
  return {found, &freeaddrinfo};
}

// Classifies an immediate error of connect(2): the listed errors are those of the peer or of the path to it,
// all others are local.
ConnectFault connect_fault_of(int error) {
  switch (error) {
    case ECONNREFUSED:
    case ECONNRESET:
    case ETIMEDOUT:
    case EHOSTUNREACH: return ConnectFault::remote;
    default: return ConnectFault::local;
  }
}

// Answers are small and written once per turn; Nagle's algorithm would delay each until the previous one is
// acknowledged.
void disable_nagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::error_code last_error() { return {errno, std::generic_category()}; }

// accept(2) also reports network errors that are already pending on the new connection. An unknown error is
// attributed to the listener, as an immediate retry could spin.
AcceptStatus accept_failure(int error) {
  switch (error) {
    case EAGAIN: return AcceptStatus::none_waiting;
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case EPERM:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ETIMEDOUT: return AcceptStatus::connection_failed;
    default: return AcceptStatus::retry_later;
  }
}

}  // namespace

void Socket::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

ListenResult listen_on(const std::string& address) {
  const Addresses resolved = resolve(address, AI_PASSIVE);
  if (!resolved) return {Socket(), std::make_error_code(std::errc::invalid_argument)};
  Socket socket(system_calls().socket(resolved->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) return {Socket(), last_error()};
  const int on = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (system_calls().bind(socket.fd(), resolved->ai_addr, resolved->ai_addrlen) != 0)
    return {Socket(), last_error()};
  if (system_calls().listen(socket.fd(), kListenBacklog) != 0) return {Socket(), last_error()};
  return {std::move(socket), {}};
}

bool is_transient_listen_error(const std::error_code& error) {
  switch (error.value()) {
    case EINTR:
    case EAGAIN:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case ENETDOWN:
    case ENETUNREACH: return true;
    default: return false;
  }
}

ConnectResult begin_connect(const std::string& address) {
  const Addresses resolved = resolve(address, 0);
  if (!resolved) return {Socket(), ConnectFault::address};
  Socket socket(system_calls().socket(resolved->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) return {Socket(), ConnectFault::local};
  disable_nagle(socket.fd());
  const int result = system_calls().connect(socket.fd(), resolved->ai_addr, resolved->ai_addrlen);
  // A connect that is interrupted by a signal continues asynchronously, like a non-blocking one.
  const bool in_progress = result == 0 || errno == EINPROGRESS || errno == EINTR;
  if (!in_progress) return {Socket(), connect_fault_of(errno)};
  return {std::move(socket), ConnectFault::none};
}

Socket connect_to(const std::string& address) { return begin_connect(address).socket; }

AcceptResult accept_from(const Socket& listener) {
  Socket socket(system_calls().accept(listener.fd(), SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket) return {accept_failure(errno), Socket()};
  disable_nagle(socket.fd());
  return {AcceptStatus::accepted, std::move(socket)};
}

int pending_error(const Socket& socket) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

std::string bound_address(const Socket& listener) {
  sockaddr_storage storage{};
  socklen_t size = sizeof storage;
  char host[NI_MAXHOST];
  char port[NI_MAXSERV];
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  if (getsockname(listener.fd(), address, &size) != 0) return {};
  constexpr int numeric = NI_NUMERICHOST | NI_NUMERICSERV;
  if (getnameinfo(address, size, host, sizeof host, port, sizeof port, numeric) != 0) return {};
  return std::string(host) + ":" + port;
}

bool valid_address(const std::string& address) { return resolve(address, 0) != nullptr; }

}  // namespace pathstack::net

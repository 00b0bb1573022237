/// The system calls of the network code, behind an interface that tests replace to inject failures.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>
#include <ctime>

namespace pathstack::net {

/// The system calls that sockets and the event loop make. Each method has the arguments, result and `errno`
/// of its system call. The default implementation calls the kernel.
class SystemCalls {
 public:
  virtual ~SystemCalls() = default;
  virtual int socket(int domain, int type, int protocol);
  virtual int bind(int fd, const sockaddr* address, socklen_t size);
  virtual int listen(int fd, int backlog);
  virtual int connect(int fd, const sockaddr* address, socklen_t size);
  virtual int accept(int fd, int flags);
  virtual ssize_t receive(int fd, void* buffer, std::size_t size);
  virtual ssize_t send(int fd, const void* bytes, std::size_t size);
  virtual int shutdown(int fd, int how);
  virtual int poll(pollfd* descriptors, nfds_t count, int timeout_ms);
  virtual int pipe(int ends[2], int flags);
  virtual int nanosleep(const timespec* duration, timespec* remaining);
};

/// The implementation in use: the kernel, unless a `ScopedSystemCalls` is alive.
SystemCalls& system_calls();

/// Suspends the thread for `duration`, or until a signal arrives. Keeps retries of failing calls from
/// spinning.
void pause_for(std::chrono::nanoseconds duration);

/// Replaces the implementation in use for its lifetime. For tests; not thread-safe, may be nested.
class ScopedSystemCalls {
 public:
  explicit ScopedSystemCalls(SystemCalls& calls);
  ~ScopedSystemCalls();
  ScopedSystemCalls(const ScopedSystemCalls&) = delete;
  ScopedSystemCalls& operator=(const ScopedSystemCalls&) = delete;

 private:
  SystemCalls* previous_;
};

}  // namespace pathstack::net

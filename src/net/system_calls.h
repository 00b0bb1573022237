// The system calls of the network code, behind an interface that a test can replace by one that fails.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>
#include <ctime>

namespace pathstack::net {

/// The calls of the kernel that sockets and the event loop make. The methods have the arguments, results and
/// `errno` of the system calls whose names they bear. The default implementation passes them to the kernel.
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

/// The calls in use: the kernel's, unless a `ScopedSystemCalls` is alive.
SystemCalls& system_calls();

/// Stops the thread for `duration`; a signal ends it sooner. For retries of calls that would else spin.
void pause_for(std::chrono::nanoseconds duration);

/// Replaces the calls in use for its lifetime; for tests. Not thread-safe, may be nested.
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

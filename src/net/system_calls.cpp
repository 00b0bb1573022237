#include "net/system_calls.h"

#include <unistd.h>

namespace pathstack::net {
namespace {

SystemCalls*& calls_in_use() {
  static SystemCalls kernel;
  static SystemCalls* in_use = &kernel;
  return in_use;
}

}  // namespace

int SystemCalls::socket(int domain, int type, int protocol) { return ::socket(domain, type, protocol); }

int SystemCalls::bind(int fd, const sockaddr* address, socklen_t size) { return ::bind(fd, address, size); }

int SystemCalls::listen(int fd, int backlog) { return ::listen(fd, backlog); }

int SystemCalls::connect(int fd, const sockaddr* address, socklen_t size) {
  return ::connect(fd, address, size);
}

int SystemCalls::accept(int fd, int flags) { return ::accept4(fd, nullptr, nullptr, flags); }

ssize_t SystemCalls::receive(int fd, void* buffer, std::size_t size) { return ::recv(fd, buffer, size, 0); }

ssize_t SystemCalls::send(int fd, const void* bytes, std::size_t size) {
  return ::send(fd, bytes, size, MSG_NOSIGNAL);
}

int SystemCalls::shutdown(int fd, int how) { return ::shutdown(fd, how); }

int SystemCalls::poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  return ::poll(descriptors, count, timeout_ms);
}

int SystemCalls::pipe(int ends[2], int flags) { return ::pipe2(ends, flags); }

int SystemCalls::nanosleep(const timespec* duration, timespec* remaining) {
  return ::nanosleep(duration, remaining);
}

SystemCalls& system_calls() { return *calls_in_use(); }

void pause_for(std::chrono::nanoseconds duration) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  const timespec span{seconds.count(), (duration - seconds).count()};
  system_calls().nanosleep(&span, nullptr);
}

ScopedSystemCalls::ScopedSystemCalls(SystemCalls& calls) : previous_(calls_in_use()) {
  calls_in_use() = &calls;
}

ScopedSystemCalls::~ScopedSystemCalls() { calls_in_use() = previous_; }

}  // namespace pathstack::net

// Library that the soak test preloads into an invoker: shifts the wall clock, and lets system calls fail or
// transfer less than asked for, in ways that Linux documents. Does nothing unless the environment names a
// control file.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <random>

#include "fault_control.h"

namespace {

using pathstack::soak::FaultControl;
using pathstack::soak::kFaultControlVariable;

const FaultControl* map_control() {
  const char* const path = std::getenv(kFaultControlVariable);
  if (path == nullptr) return nullptr;
  const int fd = open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* const mapped = mmap(nullptr, sizeof(FaultControl), PROT_READ, MAP_SHARED, fd, 0);
  close(fd);
  return mapped == MAP_FAILED ? nullptr : static_cast<const FaultControl*>(mapped);
}

const FaultControl* control() {
  static const FaultControl* const mapped = map_control();
  return mapped;
}

template <typename Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

std::mt19937& random_engine() {
  static std::mt19937 engine(static_cast<unsigned>(getpid()));
  return engine;
}

bool fails() {
  if (control() == nullptr) return false;
  const auto rate = control()->failures_per_mille.load(std::memory_order_relaxed);
  return rate > 0 && random_engine()() % 1000 < rate;
}

template <std::size_t N>
int fail_with(const std::array<int, N>& errors) {
  errno = errors[random_engine()() % N];
  return -1;
}

std::int64_t wall_clock_offset_ms() {
  return control() == nullptr ? 0 : control()->wall_clock_offset_ms.load(std::memory_order_relaxed);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) {
  static auto* const real = next<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  time->tv_sec += wall_clock_offset_ms() / 1000;
  return 0;
}

int gettimeofday(timeval* time, void* zone) {
  static auto* const real = next<int(timeval*, void*)>("gettimeofday");
  const int result = real(time, zone);
  if (result == 0) time->tv_sec += wall_clock_offset_ms() / 1000;
  return result;
}

int socket(int domain, int type, int protocol) {
  static auto* const real = next<int(int, int, int)>("socket");
  if (fails()) return fail_with(std::array<int, 3>{EMFILE, ENFILE, ENOBUFS});
  return real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* const real = next<int(int, const sockaddr*, socklen_t)>("connect");
  if (fails()) return fail_with(std::array<int, 2>{EAGAIN, EADDRNOTAVAIL});
  return real(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static auto* const real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (fails()) return fail_with(std::array<int, 3>{EMFILE, ENOBUFS, EINTR});
  return real(fd, address, size, flags);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* const real = next<int(pollfd*, nfds_t, int)>("poll");
  if (fails()) return fail_with(std::array<int, 2>{EINTR, ENOMEM});
  return real(descriptors, count, timeout);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static auto* const real = next<ssize_t(int, void*, size_t, int)>("recv");
  if (!fails()) return real(fd, buffer, size, flags);
  if (random_engine()() % 2 == 0) return fail_with(std::array<int, 1>{EINTR});
  return real(fd, buffer, std::min<size_t>(size, 1), flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static auto* const real = next<ssize_t(int, const void*, size_t, int)>("send");
  if (!fails()) return real(fd, bytes, size, flags);
  if (random_engine()() % 2 == 0) return fail_with(std::array<int, 2>{EINTR, EAGAIN});
  return real(fd, bytes, std::min<size_t>(size, 1), flags);
}

}  // extern "C"

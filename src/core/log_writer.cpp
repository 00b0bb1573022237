#include "core/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace pathstack::core {
namespace {

constexpr std::size_t kMaxPendingBytes = std::size_t{64} * 1024;

bool is_writable(int descriptor) {
  pollfd polled{descriptor, POLLOUT, 0};
  return poll(&polled, 1, 0) == 1 && (polled.revents & (POLLOUT | POLLERR | POLLHUP)) != 0;
}

}  // namespace

void LogWriter::write_line(std::string_view line) {
  flush();
  if (pending_.size() + line.size() + 1 > kMaxPendingBytes) {
    counters_.add(Counter::log_lines_dropped);
    return;
  }
  pending_ += line;
  pending_ += '\n';
  flush();
}

void LogWriter::flush() {
  // A pipe that poll(2) reports as writable accepts at least PIPE_BUF bytes without blocking.
  while (!pending_.empty() && is_writable(descriptor_)) {
    const ssize_t written =
        ::write(descriptor_, pending_.data(), std::min<std::size_t>(pending_.size(), PIPE_BUF));
    if (written >= 0) {
      pending_.erase(0, static_cast<std::size_t>(written));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return;
    // After any other error nobody can read the output any more.
    counters_.add(Counter::log_lines_dropped,
                  static_cast<std::uint64_t>(std::count(pending_.begin(), pending_.end(), '\n')));
    pending_.clear();
  }
}

}  // namespace pathstack::core

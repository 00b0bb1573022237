#include "config/file_read.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "net/socket.h"

namespace pathstack::config {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

}  // namespace

std::optional<std::string> read_file(const std::string& path) {
  const net::Socket file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) return std::nullopt;
  std::string content;
  std::string chunk(kChunkBytes, '\0');
  while (true) {
    const ssize_t count = read(file.fd(), chunk.data(), chunk.size());
    if (count == 0) return content;
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return std::nullopt;
    content.append(chunk, 0, static_cast<std::size_t>(count));
  }
}

}  // namespace pathstack::config

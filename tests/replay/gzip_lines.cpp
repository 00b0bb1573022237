#include "gzip_lines.h"

#include <zlib.h>

#include <array>
#include <memory>
#include <stdexcept>

namespace pathstack::policy::replay {
namespace {

constexpr std::size_t kChunkBytes = 65536;

std::string read_gzip(const std::string& path) {
  const std::unique_ptr<gzFile_s, int (*)(gzFile)> file(gzopen(path.c_str(), "rb"), gzclose);
  if (!file) throw std::runtime_error("cannot open " + path);
  std::string text;
  std::array<char, kChunkBytes> chunk{};
  int read = 0;
  while ((read = gzread(file.get(), chunk.data(), chunk.size())) > 0)
    text.append(chunk.data(), static_cast<std::size_t>(read));
  int code = Z_OK;
  gzerror(file.get(), &code);
  if (read < 0 || code != Z_OK) throw std::runtime_error("cannot decompress " + path);
  return text;
}

}  // namespace

std::vector<std::string> read_gzip_lines(const std::string& path) {
  const std::string text = read_gzip(path);
  std::vector<std::string> lines;
  std::size_t begin = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
    lines.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  if (begin != text.size())
    throw std::runtime_error(path + " does not end with a line feed; the file is truncated");
  return lines;
}

}  // namespace pathstack::policy::replay

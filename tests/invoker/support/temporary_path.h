// A path for a file of a test's own.
#pragma once

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <string>

namespace pathstack::test {

/// A folder of its own with one file in it. Both go with the owner.
class TemporaryPath {
 public:
  TemporaryPath() {
    const char* const root = std::getenv("TMPDIR");
    folder_ = std::string(root != nullptr ? root : "/tmp") + "/pathstack-test-XXXXXX";
    REQUIRE(mkdtemp(folder_.data()) != nullptr);
  }
  ~TemporaryPath() {
    remove();
    rmdir(folder_.c_str());
  }
  TemporaryPath(const TemporaryPath&) = delete;
  TemporaryPath& operator=(const TemporaryPath&) = delete;

  std::string file() const { return folder_ + "/file"; }
  /// Writes the file in place.
  void write(const std::string& text) const { std::ofstream(file(), std::ios::binary) << text; }
  /// A folder in the file's place: it can be opened, and every read fails (EISDIR).
  void make_unreadable() const {
    remove();
    REQUIRE(mkdir(file().c_str(), 0700) == 0);
  }
  void remove() const {
    if (unlink(file().c_str()) != 0) rmdir(file().c_str());
  }

 private:
  std::string folder_;
};

}  // namespace pathstack::test

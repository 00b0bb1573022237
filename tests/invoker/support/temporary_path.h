/// A temporary file for a test.
#pragma once

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <string>

namespace pathstack::test {

/// A new directory with a path for one file. The destructor removes both.
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

  /// The path of the file, which need not exist.
  std::string file() const { return folder_ + "/file"; }
  /// Overwrites the file in place, without a rename.
  void write(const std::string& text) const { std::ofstream(file(), std::ios::binary) << text; }
  /// Replaces the file by a directory, which can be opened while every read fails with EISDIR.
  void make_unreadable() const {
    remove();
    REQUIRE(mkdir(file().c_str(), 0700) == 0);
  }
  /// Removes the file, or the directory in its place.
  void remove() const {
    if (unlink(file().c_str()) != 0) rmdir(file().c_str());
  }

 private:
  std::string folder_;
};

}  // namespace pathstack::test

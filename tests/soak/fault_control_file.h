/// The soak test's side of a control file.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

#include "fault_control.h"

namespace pathstack::soak {

/// Creates the file with all fields zero and maps it. The constructor throws std::runtime_error if that
/// fails.
class FaultControlFile {
 public:
  explicit FaultControlFile(std::string path) : path_(std::move(path)) {
    const int fd = open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const bool sized = fd >= 0 && ftruncate(fd, sizeof(FaultControl)) == 0;
    void* const mapped =
        sized ? mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0) : MAP_FAILED;
    if (fd >= 0) close(fd);
    if (mapped == MAP_FAILED) throw std::runtime_error("cannot map " + path_);
    control_ = static_cast<FaultControl*>(mapped);
  }
  ~FaultControlFile() { munmap(control_, sizeof(FaultControl)); }
  FaultControlFile(const FaultControlFile&) = delete;
  FaultControlFile& operator=(const FaultControlFile&) = delete;

  FaultControl& control() { return *control_; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  FaultControl* control_ = nullptr;
};

}  // namespace pathstack::soak

/// A child process that runs the invoker under test.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pathstack::soak {

/// Starts the program; the destructor kills it if it still runs. Standard output and error are appended to a
/// file.
class InvokerProcess {
 public:
  /// `environment`: `NAME=value` entries added to the environment of this process. Throws std::runtime_error
  /// if the program does not start.
  InvokerProcess(const std::string& program, const std::string& config, const std::string& log,
                 const std::vector<std::string>& environment);
  ~InvokerProcess();
  InvokerProcess(const InvokerProcess&) = delete;
  InvokerProcess& operator=(const InvokerProcess&) = delete;

  /// No effect once the process has ended.
  void send_signal(int signal) const;
  /// True once the process has ended. Does not block.
  bool has_ended();
  /// nullopt while the process runs, or if a signal ended it.
  std::optional<int> exit_status() const { return exit_status_; }
  /// Peak resident set size in MB; 0 if it is unknown, or inflated by AddressSanitizer.
  double peak_memory_mb() const;
  /// Number of open file descriptors; 0 if unknown.
  std::size_t descriptors() const;

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  std::optional<int> exit_status_;

  bool is_sanitized() const;
};

}  // namespace pathstack::soak

// One process of the invoker under test.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pathstack::soak {

/// Starts the program and ends it with its owner, whatever state it is in. Its output goes to a file.
class InvokerProcess {
 public:
  /// `environment`: further `NAME=value` entries. Throws std::runtime_error if the program does not start.
  InvokerProcess(const std::string& program, const std::string& config, const std::string& log,
                 const std::vector<std::string>& environment);
  ~InvokerProcess();
  InvokerProcess(const InvokerProcess&) = delete;
  InvokerProcess& operator=(const InvokerProcess&) = delete;

  void send_signal(int signal) const;
  /// True once it has ended; waits for nothing.
  bool has_ended();
  /// Of a process that ended by itself.
  std::optional<int> exit_status() const { return exit_status_; }
  /// Its largest resident size so far in MB; 0 if it is not known, or inflated by a sanitizer.
  double peak_memory_mb() const;
  std::size_t descriptors() const;

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  std::optional<int> exit_status_;

  bool is_sanitized() const;
};

}  // namespace pathstack::soak

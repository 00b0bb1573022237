/// The record of a run: a line for each thing that was sent, answered or run.
#pragma once

#include <chrono>
#include <fstream>
#include <iomanip>
#include <string>

namespace pathstack::review {

/// Writes lines `SECONDS WHAT` to a file; the time counts from the construction.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc), began_(Clock::now()) {}

  /// Milliseconds since the construction.
  double now() const { return std::chrono::duration<double, std::milli>(Clock::now() - began_).count(); }

  void line(const std::string& what) {
    out_ << std::fixed << std::setprecision(4) << now() / 1000 << ' ' << what << '\n';
  }
  void flush() { out_.flush(); }

 private:
  using Clock = std::chrono::steady_clock;
  std::ofstream out_;
  Clock::time_point began_;
};

}  // namespace pathstack::review

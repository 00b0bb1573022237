// Lines of the log that tell of single events: of one call, one worker, one connection.
#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "core/counters.h"
#include "core/types.h"

namespace pathstack::core {

/// Name of an outcome in the log.
const char* log_name(Outcome outcome);

/// Writes `event NAME t=SECONDS key=value ...`, at most `kLinesPerSecond` in the mean: past that lines are
/// dropped and counted, so that an overload is not made worse by telling of it. The time is Unix time by the
/// monotonic clock. Cost: constant, and linear in the line.
class EventLog {
 public:
  using Clock = std::function<Millis()>;
  using WriteLine = std::function<void(const std::string&)>;
  using Field = std::pair<std::string_view, std::string>;

  static constexpr double kLinesPerSecond = 20;
  static constexpr double kBurst = 100;

  EventLog(Clock clock, WriteLine write_line, Counters& counters);

  void write(std::string_view name, std::initializer_list<Field> fields);
  /// The same for `text` of the form `NAME key=value ...`.
  void write(const std::string& text);

 private:
  Clock clock_;
  WriteLine write_line_;
  Counters& counters_;
  double tokens_ = kBurst;
  Millis refilled_at_;

  bool take_token(Millis now);
  bool may_write(Millis now);
  void write_line(Millis now, std::string_view name, const std::string& fields);
};

}  // namespace pathstack::core

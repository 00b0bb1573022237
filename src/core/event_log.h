/// Log lines for single events of a call, a worker or a connection, with a rate limit.
#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "core/counters.h"
#include "core/types.h"

namespace pathstack::core {

/// Returns the name of an outcome in the log.
const char* log_name(Outcome outcome);

/// Writes lines `event NAME t=SECONDS key=value ...`. A token bucket limits them to `kLinesPerSecond` on
/// average, with bursts of `kBurst` lines. Lines above the limit are dropped and counted, so that logging
/// does not add to an overload. `t` is Unix time that advances with the monotonic clock. Cost of a line:
/// linear in its length; of a dropped line: constant.
class EventLog {
 public:
  /// Returns the time in milliseconds, on the scale of `t`.
  using Clock = std::function<Millis()>;
  /// Writes one line, which it gets without a line end.
  using WriteLine = std::function<void(const std::string&)>;
  using Field = std::pair<std::string_view, std::string>;

  /// Rate and depth of the token bucket, in lines.
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kBurst = 100;

  /// `counters` must outlive this object.
  EventLog(Clock clock, WriteLine write_line, Counters& counters);

  /// Writes the event `name` with `fields`.
  void write(std::string_view name, std::initializer_list<Field> fields);
  /// Writes an event from `text` of the form `NAME key=value ...`.
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

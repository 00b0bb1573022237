#include "core/event_log.h"

#include <algorithm>
#include <cstdio>

namespace pathstack::core {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

const char* log_name(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok: return "ok";
    case Outcome::error: return "error";
    case Outcome::full: return "full";
    case Outcome::timeout: return "timeout";
    case Outcome::connect_failed: return "connect_failed";
    case Outcome::reset: return "reset";
    case Outcome::cancelled: return "cancelled";
    case Outcome::moot: return "moot";
    case Outcome::miss: return "miss";
    case Outcome::not_sent: return "not_sent";
    case Outcome::unreachable: return "unreachable";
  }
  return "unknown";
}

EventLog::EventLog(Clock clock, WriteLine write_line, Counters& counters)
    : clock_(std::move(clock)),
      write_line_(std::move(write_line)),
      counters_(counters),
      refilled_at_(clock_()) {}

bool EventLog::take_token(Millis now) {
  const double elapsed = (now - refilled_at_).count();
  refilled_at_ = now;
  tokens_ = std::min(kBurst, tokens_ + elapsed * kLinesPerSecond / kMillisPerSecond);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

bool EventLog::may_write(Millis now) {
  if (take_token(now)) return true;
  counters_.add(Counter::log_events_suppressed);
  return false;
}

// The rate limit is checked first, so that a dropped line is not formatted.
void EventLog::write(std::string_view name, std::initializer_list<Field> fields) {
  const Millis now = clock_();
  if (!may_write(now)) return;
  std::string text;
  for (const auto& [key, value] : fields) {
    text += ' ';
    text += key;
    text += '=';
    text += value;
  }
  write_line(now, name, text);
}

void EventLog::write(const std::string& text) {
  const Millis now = clock_();
  if (!may_write(now)) return;
  const std::size_t end = std::min(text.find(' '), text.size());
  write_line(now, std::string_view(text).substr(0, end), text.substr(end));
}

void EventLog::write_line(Millis now, std::string_view name, const std::string& fields) {
  char time[32];
  std::snprintf(time, sizeof time, "%.3f", now.count() / kMillisPerSecond);
  std::string line = "event ";
  line += name;
  line += " t=";
  line += time;
  line += fields;
  write_line_(line);
}

}  // namespace pathstack::core

// The change log: what was known at the start, then every later event once, in order, over connections that
// are made again as often as they break.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/membership_events.h"
#include "core/counters.h"
#include "core/member.h"
#include "feed/retry.h"
#include "net/loop.h"
#include "net/stream.h"

namespace pathstack::feed {

constexpr std::size_t kDefaultMaxEventBytes = 1U << 20;  // bytes of a line of the change log

/// Cuts bytes into lines, in whatever pieces they come.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t max_line = kDefaultMaxEventBytes) : max_line_(max_line) {}
  /// False once a line is longer than `max_line` bytes.
  bool take(std::string_view bytes, std::vector<std::string>& out);

 private:
  std::size_t max_line_;
  std::string line_;
};

// Reads events and keeps their numbers: repeats are passed over, a gap is told.
class EventSequence {
 public:
  enum class Result { update, no_update, gap, malformed };
  explicit EventSequence(std::uint64_t last = 0) : last_(last) {}
  Result read_line(const std::string& line, core::MemberList& out);
  Result read_event(config::MembershipEvent&& event, core::MemberList& out);
  std::uint64_t last() const { return last_; }
  void skip_to(std::uint64_t seq) { last_ = std::max(last_, seq); }

 private:
  std::uint64_t last_;
};

class MembershipClient {
 public:
  using Told = std::function<void(const core::MemberList&)>;
  /// `seed` is that of the jitter between connections.
  /// A line of more than `max_event` bytes ends the connection; a whole list of hosts is one line.
  MembershipClient(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, std::string address,
                   EventSequence log, Told told, std::size_t max_event = kDefaultMaxEventBytes,
                   std::uint64_t seed = 0, Timeouts timeouts = Timeouts());
  ~MembershipClient();
  void start() { connect(); }
  // The log goes on at another address, under the same numbers.
  void move(const std::string& address);

 private:
  class Connection;
  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Counters& counters_;
  std::string address_;
  EventSequence log_;
  Told told_;
  std::size_t max_event_;
  std::shared_ptr<Connection> connection_;
  net::Loop::TimerId timer_{};
  Timeouts timeouts_;
  Backoff backoff_;
  StalenessTimeout patience_;

  void connect();
  void again();
};

}  // namespace pathstack::feed

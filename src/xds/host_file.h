/// Watcher of an xDS file in which an operator maintains the host list.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "base/result.h"
#include "core/counters.h"
#include "core/member.h"
#include "net/loop.h"
#include "xds/assignment.h"
#include "xds/file_watch.h"

namespace pathstack::xds {

/// Watches an xDS file and reports the hosts of one cluster whenever they may have changed. If a new list
/// cannot be read, the last valid one stays in force.
///
/// An endpoint that is added later, or returns, counts as just started. Runs on the thread of the loop and
/// reads the file there, so a file on a stalled network file system stalls the program. Must be destroyed
/// before the loop.
class HostFile {
 public:
  /// Success, or why the host list is not in force.
  using Status = Result<std::monostate, ReadError>;
  /// Receives the complete host list.
  using OnUpdate = std::function<void(const core::MemberList&)>;
  /// Called once for each changed version of the file that cannot be read.
  using OnRejected = std::function<void(const ReadError&)>;

  /// `interval`: between checks for changes, each of which costs one stat(2).
  HostFile(net::Loop& loop, core::Counters& counters, std::string path, std::string cluster,
           core::Millis interval, OnUpdate on_update, OnRejected on_rejected = {});
  ~HostFile() { loop_.cancel(timer_); }
  HostFile(const HostFile&) = delete;
  HostFile& operator=(const HostFile&) = delete;

  /// Reads the file for the first time and watches it from then on, whatever the result.
  Status start();

  /// Switches to another file or another cluster. On an error the old source stays in use.
  Status switch_source(const std::string& path, const std::string& cluster);

 private:
  struct Source {
    std::string path, cluster;
  };
  /// The result of the last read.
  struct LastRead {
    std::string version;             // cluster, size and hash of the content
    std::optional<ReadError> error;  // empty: its list is in force
  };

  net::Loop& loop_;
  core::Counters& counters_;
  Source source_;
  core::Millis interval_;
  OnUpdate on_update_;
  OnRejected on_rejected_;
  net::Loop::TimerId timer_;
  FileWatch watch_;
  LastRead last_read_;
  bool has_list_ = false;
  std::map<std::string, core::Millis> started_;  // by host id, for the hosts of the last list

  std::string stamp() const;
  Status read();
  std::optional<ReadError> apply(const std::string& content);
  void set_start_times(core::MemberList& list);
  void schedule_poll();
  void poll();
};

}  // namespace pathstack::xds

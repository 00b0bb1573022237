// A file with a list of hosts that an operator keeps up to date.
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

/// Watches an xDS file and reports the hosts of one cluster whenever they may have changed. A list that
/// cannot be read leaves the last good one in force.
///
/// An endpoint that is added later, or comes back, counts as just started. Runs on the loop's thread; reads
/// the file there, so a file on a stalled network file system stalls the program. Destroyed before the loop.
class HostFile {
 public:
  /// Success, or why the list of hosts is not in force.
  using Status = Result<std::monostate, ReadError>;
  /// Receives the complete list.
  using OnUpdate = std::function<void(const core::MemberList&)>;
  /// Called once for each change of the file that cannot be read.
  using OnRejected = std::function<void(const ReadError&)>;

  /// `interval`: between looks at the file's stamps, which cost a stat(2) each.
  HostFile(net::Loop& loop, core::Counters& counters, std::string path, std::string cluster,
           core::Millis interval, OnUpdate on_update, OnRejected on_rejected = {});
  ~HostFile() { loop_.cancel(timer_); }
  HostFile(const HostFile&) = delete;
  HostFile& operator=(const HostFile&) = delete;

  /// Reads the file for the first time, and watches it from then on whatever the result.
  Status start();

  /// The list is in another file, or is another cluster's, from now on. On an error nothing has changed.
  Status switch_source(const std::string& path, const std::string& cluster);

 private:
  struct Source {
    std::string path, cluster;
  };
  /// What was read last.
  struct LastRead {
    std::string version;             // cluster, size and hash of the content
    std::optional<ReadError> error;  // none: its list is in force
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
  std::map<std::string, core::Millis> started_;  // by host, for the hosts on the last list

  std::string stamp() const;
  Status read();
  std::optional<ReadError> apply(const std::string& content);
  void set_start_times(core::MemberList& list);
  void schedule_poll();
  void poll();
};

}  // namespace pathstack::xds

#include "xds/host_file.h"

#include <sys/stat.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "config/file_read.h"

namespace pathstack::xds {
namespace {

std::string version_of(const std::string& cluster, const std::string& content) {
  const std::size_t hash = std::hash<std::string>()(content);
  return cluster + ' ' + std::to_string(content.size()) + ' ' + std::to_string(hash);
}

}  // namespace

HostFile::HostFile(net::Loop& loop, core::Counters& counters, std::string path, std::string cluster,
                   core::Millis interval, OnUpdate on_update, OnRejected on_rejected)
    : loop_(loop),
      counters_(counters),
      source_{std::move(path), std::move(cluster)},
      interval_(interval),
      on_update_(std::move(on_update)),
      on_rejected_(std::move(on_rejected)) {}

HostFile::Status HostFile::start() {
  watch_.needs_read(stamp(), loop_.now());
  Status status = read();
  watch_.read_done(static_cast<bool>(status), loop_.now());
  schedule_poll();
  return status;
}

HostFile::Status HostFile::switch_source(const std::string& path, const std::string& cluster) {
  Source previous_source = std::exchange(source_, Source{path, cluster});
  LastRead previous_read = last_read_;
  FileWatch watch;
  watch.needs_read(stamp(), loop_.now());
  Status status = read();
  if (!status) {
    source_ = std::move(previous_source);
    last_read_ = std::move(previous_read);
    return status;
  }
  watch.read_done(true, loop_.now());
  watch_ = watch;
  return status;
}

// Identifies a version of the file; empty if there is no file.
std::string HostFile::stamp() const {
  struct stat at {};
  if (stat(source_.path.c_str(), &at) != 0) return {};
  return std::to_string(at.st_ino) + ' ' + std::to_string(at.st_size) + ' ' +
         std::to_string(at.st_mtim.tv_sec) + ' ' + std::to_string(at.st_mtim.tv_nsec);
}

HostFile::Status HostFile::read() {
  counters_.add(core::Counter::xds_reads);
  const std::optional<std::string> content = config::read_file(source_.path);
  if (!content) return ReadError{"cannot be read"};
  const std::string version = version_of(source_.cluster, *content);
  if (version != last_read_.version) {
    last_read_.version = version;
    last_read_.error = apply(*content);
    counters_.add(last_read_.error ? core::Counter::xds_rejected : core::Counter::xds_lists);
  }
  if (last_read_.error) return *last_read_.error;
  return std::monostate();
}

// On an error the host list in force stays.
std::optional<ReadError> HostFile::apply(const std::string& content) {
  const auto file = nlohmann::json::parse(content, nullptr, false);
  if (file.is_discarded()) return ReadError{"is not valid JSON"};
  auto list = read_assignment(file, source_.cluster);
  if (!list) return list.error();
  set_start_times(*list);
  on_update_(*list);
  return std::nullopt;
}

// Hosts of the first list may have been running for long. A host that is added later is cold and must not get
// the share of a warm host, so its start time is now.
void HostFile::set_start_times(core::MemberList& list) {
  std::map<std::string, core::Millis> started;
  for (auto& member : list.members) {
    const auto known = started_.find(member.entry.worker);
    member.entry.started = has_list_ ? loop_.now() : core::Millis(0);
    if (known != started_.end()) member.entry.started = known->second;
    started[member.entry.worker] = member.entry.started;
  }
  started_ = std::move(started);
  has_list_ = true;
}

void HostFile::schedule_poll() {
  timer_ = loop_.at(loop_.now() + interval_, [this] { poll(); });
}

void HostFile::poll() {
  schedule_poll();
  if (!watch_.needs_read(stamp(), loop_.now())) return;
  const bool changed = watch_.changed();
  const Status status = read();
  watch_.read_done(static_cast<bool>(status), loop_.now());
  if (!status && changed && on_rejected_) on_rejected_(status.error());
}

}  // namespace pathstack::xds

#include "app/invoker.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

#include "app/part_settings.h"

namespace pathstack::app {
namespace {

using core::Millis;

constexpr Millis kStatusInterval{5000};   // between status lines in the log
constexpr Millis kShutdownInterval{20};   // between checks whether the shutdown is complete
constexpr Millis kListenRetryTime{5000};  // of transient errors of the listener
constexpr Millis kListenRetryDelay{100};
constexpr const char* kProgram = "pathstack-invoker";

std::string environment_variable(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

// Throws config::ConfigError.
config::Config read_configuration(const std::string& path) {
  if (path.empty()) {
    throw config::ConfigError("configuration: BALANCER_CONFIG: not set, and no file given as argument");
  }
  return config::read_config(config::read_config_file(path), environment_variable("BALANCER_NAME"),
                             environment_variable("BALANCER_LISTEN"));
}

}  // namespace

// The signal handlers are installed first, as the default action of a signal would end the program while it
// starts.
Invoker::Invoker(std::string config_file)
    : config_file_(std::move(config_file)),
      signals_(loop_),
      config_(read_configuration(config_file_)),
      output_(STDOUT_FILENO, counters_),
      error_output_(STDERR_FILENO, counters_),
      event_log_([this] { return loop_.now(); },
                 [this](const std::string& line) { output_.write_line(line); }, counters_),
      memory_(peer_memory(config_), client_limits(config_).max_active),
      buffers_(max_output_blocks(config_)),
      connection_pool_(loop_, buffers_, counters_, host_limits(config_)),
      dispatcher_(
          module_settings(config_), [this] { return loop_.now(); }, connection_pool_, counters_),
      shutdown_(longest_deadline(config_.settings)),
      resp_front_(loop_, buffers_, dispatcher_, counters_, client_limits(config_)),
      reloader_(
          loop_, [this] { reload(); },
          [this](const std::string& fault, bool last) { report_reload_fault(fault, last); }) {
  connection_pool_.attach(dispatcher_);
  dispatcher_.set_event_log(event_log_);
  start_memory_budget();
  start_membership();
  start_listening();
  if (terminated_at_start_) return;
  start_amqp();
  next_status_ = loop_.now() + kStatusInterval;
}

void Invoker::update_members(const core::MemberList& list, core::ListKind kind) {
  connection_pool_.members(list);  // first: the module may send to these hosts at once
  core::HostList entries{kind, {}};
  for (const auto& member : list.members) entries.entries.push_back(member.entry);
  dispatcher_.update_hosts(std::move(entries));
}

// The connection pool is updated first, as the module may send at once.
void Invoker::update_list_lease(const feed::ListLease& lease) {
  const Millis until = lease.until();
  list_current_until_ = until;
  connection_pool_.list_lease(until);
  dispatcher_.update_list_lease(until, lease.later_changes_from());
}

void Invoker::log_list_state() {
  const bool is_current = loop_.now() <= list_current_until_;
  if (is_current == std::exchange(list_was_current_, is_current)) return;
  event_log_.write(is_current ? "membership.current" : "membership.stale", {});
}

feed::EventSequence Invoker::apply_known_events() {
  using Result = feed::EventSequence::Result;
  feed::EventSequence sequence;
  for (auto& event : std::exchange(config_.known_events, {})) {
    core::MemberList list;
    const Result result = sequence.read_event(std::move(event), list);
    if (result == Result::gap || result == Result::malformed) {
      counters_.add(core::Counter::feed_known_unread);
      report_error("known: cannot read an event; requesting the events after " +
                   std::to_string(sequence.last()) + " from the membership log");
      return sequence;  // the membership log sends the remaining events
    }
    if (result == Result::no_update) continue;
    update_members(list, list.complete ? core::ListKind::cached : core::ListKind::delta);
  }
  sequence.skip_to(config_.known_seq);
  return sequence;
}

void Invoker::start_memory_budget() {
  using core::MemoryOwner;
  resp_front_.set_memory_budget(memory_);
  connection_pool_.set_memory_budget(memory_);
  memory_.track(MemoryOwner::call_history, [this] { return dispatcher_.history_bytes(); });
  memory_.track(MemoryOwner::functions, [this] { return dispatcher_.function_bytes(); });
  memory_.track(MemoryOwner::membership,
                [this] { return membership_client_ ? membership_client_->buffered_bytes() : 0; });
  memory_.track(MemoryOwner::output, [this] { return buffers_.bytes(); });
}

void Invoker::start_membership() {
  const feed::EventSequence known = apply_known_events();
  const auto on_update = [this](const core::MemberList& list) {
    update_members(list, list.complete ? core::ListKind::full : core::ListKind::delta);
  };
  if (!config_.xds) {
    membership_client_.emplace(loop_, buffers_, counters_, config_.changelog, known, on_update,
                               max_membership_line(config_), config_.seed);
    membership_client_->log_to(event_log_);
    membership_client_->observe_lease([this](const feed::ListLease& lease) { update_list_lease(lease); });
    membership_client_->start();
    return;
  }
  const auto on_rejected = [this](const xds::ReadError& error) { report_error("xds.file: " + error.reason); };
  host_file_.emplace(loop_, counters_, config_.xds->file, config_.xds->cluster, config_.xds->reread,
                     on_update, on_rejected);
  const xds::HostFile::Status started = host_file_->start();
  if (!started) throw config::ConfigError("configuration: xds.file: " + started.error().reason);
}

void Invoker::start_listening() {
  if (config_.listen.empty()) return;
  const Millis retry_until = loop_.now() + kListenRetryTime;
  bool reported = false;
  while (!resp_front_.listen(config_.listen)) {
    const std::error_code error = resp_front_.listen_error();
    const std::string fault = "cannot listen on " + config_.listen + ": " + error.message();
    if (!net::is_transient_listen_error(error) || loop_.now() >= retry_until) {
      throw config::ConfigError("configuration: listen: " + fault);
    }
    if (!std::exchange(reported, true)) report_error(fault + "; retrying");
    if (!run_until(loop_.now() + kListenRetryDelay)) {
      terminated_at_start_ = true;
      return;
    }
  }
  log_event("listening on " + resp_front_.address());
}

bool Invoker::run_until(Millis end) {
  while (loop_.now() < end) {
    loop_.turn(std::min(end, dispatcher_.next_due()), [this] { dispatcher_.tick(); });
    output_.flush();
    error_output_.flush();
    if (handle_signals()) return false;
  }
  return true;
}

void Invoker::start_amqp() {
  if (!config_.amqp) return;
  amqp_front_.emplace(loop_, buffers_, dispatcher_, counters_, config_.settings,
                      broker_settings(*config_.amqp), amqp_limits(config_));
  amqp_front_->set_memory_budget(memory_);
  amqp_front_->start();
  log_event("consuming AMQP deliveries from " + config_.amqp->broker);
}

// The file is read and checked completely before the source of the host list changes.
void Invoker::reload() {
  const auto next = read_configuration(config_file_);
  if (next.xds.has_value() != config_.xds.has_value()) {
    throw config::ConfigError(
        "configuration: xds: cannot be added or removed by a reload; restart the program");
  }
  if (host_file_) {
    const xds::HostFile::Status moved = host_file_->switch_source(next.xds->file, next.xds->cluster);
    if (!moved) throw config::ConfigError("configuration: xds.file: " + moved.error().reason);
  }
  if (membership_client_) membership_client_->switch_address(next.changelog);
  counters_.add(core::Counter::config_reread);
}

// The previous configuration stays in force.
void Invoker::report_reload_fault(const std::string& fault, bool last) {
  counters_.add(core::Counter::config_faulty);
  report_error(last ? fault + "; giving up until the next SIGHUP" : fault);
}

bool Invoker::handle_signals() {
  const Signals signals = signals_.take();
  if (signals.print_counters) log_counters();
  if (signals.reload) reloader_.request();
  return signals.terminate;
}

void Invoker::run() {
  if (terminated_at_start_) return;
  while (true) {
    Millis due = std::min(dispatcher_.next_due(), next_status_);
    if (loop_.now() >= next_status_) log_status();
    if (shutdown_.started()) due = std::min(due, loop_.now() + kShutdownInterval);
    loop_.turn(due, [this] { dispatcher_.tick(); });
    log_list_state();
    output_.flush();
    error_output_.flush();
    const bool terminate = handle_signals();
    const Millis now = loop_.now();
    if (terminate && !shutdown_.started()) begin_shutdown(now);
    if (shutdown_.started() && advance_shutdown(now)) break;
  }
  if (amqp_front_) amqp_front_->close();
  // Calls that are read in this last turn are answered too.
  loop_.turn(loop_.now(), [this] { dispatcher_.finish_all(); });
  close_clients();
  log_status();
  log_counters();
}

void Invoker::begin_shutdown(Millis now) {
  shutdown_.start(now);
  log_event("shutting down: " + std::to_string(dispatcher_.open_calls()) + " calls open");
  resp_front_.drain();
  if (amqp_front_) amqp_front_->drain();
}

bool Invoker::advance_shutdown(Millis now) {
  const bool listener_closed = !shutdown_.accepts_connections(now) && resp_front_.stop_listening();
  if (shutdown_.final_answers_due(now)) dispatcher_.finish_all();
  const bool clients_served =
      resp_front_.open_calls() == 0 && !resp_front_.has_partial_request() && resp_front_.all_written();
  const bool amqp_served = !amqp_front_ || amqp_front_->done();
  const bool all_served = clients_served && amqp_served;
  const bool no_new_input = listener_closed && !shutdown_.accepts_requests(now);
  return (no_new_input && all_served) || shutdown_.must_exit(now);
}

// The exit of the process closes all open connections. The kernel resets a connection that is closed with
// unread input, and the reset can overtake the last answers. So connections are shut down in order, and the
// clients get time to read the answers and close their ends.
void Invoker::close_clients() {
  resp_front_.close_connections();
  const Millis until = shutdown_.linger_until(loop_.now());
  do {
    loop_.turn(until, [] {});
  } while (!resp_front_.closed() && loop_.now() < until);
}

void Invoker::log_status() {
  next_status_ = loop_.now() + kStatusInterval;
  std::map<std::string, double> statistics = dispatcher_.module_statistics();
  statistics.merge(memory_.statistics());
  const std::string line = counters_.status(statistics);
  if (!line.empty()) output_.write_line(line);
}

void Invoker::report_error(const std::string& error) {
  error_output_.write_line(std::string(kProgram) + ": " + error);
}

void Invoker::log_event(const std::string& text) {
  output_.write_line(std::string(kProgram) + ' ' + config_.name + ' ' + text);
}

void Invoker::log_counters() {
  for (const auto& line : counters_.lines()) output_.write_line(line);
}

}  // namespace pathstack::app

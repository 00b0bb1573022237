#include "feed/membership_client.h"

#include <utility>

namespace pathstack::feed {
namespace {

constexpr std::size_t kMaxLoggedIds = 8;

}  // namespace

MembershipClient::MembershipClient(net::Loop& loop, net::BufferPool& pool, core::Counters& counters,
                                   std::string address, EventSequence known, OnUpdate on_update,
                                   std::size_t max_event_bytes, std::uint64_t seed, const Timeouts& timeouts)
    : loop_(loop),
      pool_(pool),
      counters_(counters),
      address_(std::move(address)),
      sequence_(known),
      on_update_(std::move(on_update)),
      max_event_bytes_(max_event_bytes),
      timeouts_(timeouts),
      backoff_(timeouts.backoff_initial, timeouts.backoff_max, seed),
      staleness_(timeouts),
      lease_(loop.now()) {}

MembershipClient::~MembershipClient() { loop_.cancel(reconnect_timer_); }

void MembershipClient::start() {
  report_lease();
  connect();
}

void MembershipClient::report_lease() {
  if (on_lease_) on_lease_(lease_);
}

void MembershipClient::connect() {
  net::Socket socket = net::connect_to(address_);
  if (!socket) return reconnect_later();
  WatchOwner& owner = *this;
  connection_ = std::make_shared<WatchConnection>(loop_, pool_, counters_, std::move(socket), owner,
                                                  staleness_, timeouts_.connect, max_event_bytes_);
}

// Connects without a delay: the platform counts events of the new log as delivered soon after the move.
void MembershipClient::switch_address(const std::string& address) {
  if (address == address_) return;
  counters_.add(core::Counter::feed_moves);
  if (event_log_ != nullptr) event_log_->write("membership.moved", {{"address", address}});
  address_ = address;
  const std::shared_ptr<WatchConnection> old = std::exchange(connection_, nullptr);
  if (old) {
    old->end_later();
    loop_.defer_destruction(old);
  }
  lease_.log_moved(loop_.now());
  report_lease();
  loop_.cancel(reconnect_timer_);
  backoff_.reset();
  staleness_ = StalenessTimeout(timeouts_);
  connect();
}

void MembershipClient::reconnect_later() {
  if (connection_) loop_.defer_destruction(std::exchange(connection_, nullptr));
  loop_.cancel(reconnect_timer_);
  reconnect_timer_ = loop_.at(loop_.now() + backoff_.next(), [this] { connect(); });
}

bool MembershipClient::is_current(const WatchConnection& connection) const {
  return connection_.get() == &connection;
}

bool MembershipClient::on_line(const std::string& line) {
  using Result = EventSequence::Result;
  core::MemberList list;
  const Result result = sequence_.read_line(line, list);
  if (result == Result::gap || result == Result::malformed) {
    lease_.fell_behind(loop_.now());
    report_lease();
    return false;
  }
  // If this process stalled, the line may have arrived as early as the poll before the one that reported it.
  if (result == Result::up_to_date) lease_.confirmed(loop_.previous_poll());
  if (result != Result::up_to_date) lease_.event_received(loop_.previous_poll());
  backoff_.reset();
  staleness_.line_received();
  if (result != Result::update) {
    report_lease();
    return true;
  }
  staleness_.update_received();
  counters_.add(core::Counter::feed_events);
  log_event(list);
  on_update_(list);
  report_lease();
  return true;
}

void MembershipClient::on_silence_timeout(const WatchConnection& connection) {
  if (is_current(connection)) staleness_.silence_expired();
}

void MembershipClient::on_line_timeout(const WatchConnection& connection) {
  if (is_current(connection)) staleness_.line_expired();
}

void MembershipClient::on_ended(const WatchConnection& connection) {
  if (!is_current(connection)) return;
  if (event_log_ != nullptr) {
    event_log_->write("membership.ended", {{"address", address_},
                                           {"reason", std::string(connection.end_reason())},
                                           {"last", std::to_string(sequence_.last())}});
  }
  if (connection.end_cause() != net::StreamEnd::local) {
    lease_.connection_lost(loop_.now());
    report_lease();
  }
  reconnect_later();
}

void MembershipClient::on_events_requested(std::uint64_t last) {
  lease_.events_requested(loop_.now());
  report_lease();
  if (event_log_ == nullptr) return;
  event_log_->write("membership.asked", {{"address", address_}, {"since", std::to_string(last)}});
}

// Logs the number of hosts in each state, and their ids if there are at most kMaxLoggedIds.
void MembershipClient::log_event(const core::MemberList& list) const {
  if (event_log_ == nullptr) return;
  std::size_t ready = 0, draining = 0, gone = 0;
  std::string ids;
  for (const core::Member& member : list.members) {
    const core::WorkerState state = member.entry.state;
    if (state == core::WorkerState::ready) ++ready;
    if (state == core::WorkerState::draining) ++draining;
    if (state == core::WorkerState::gone) ++gone;
    if (list.members.size() > kMaxLoggedIds) continue;
    if (!ids.empty()) ids += ',';
    ids += member.entry.worker;
  }
  event_log_->write("membership.event", {{"seq", std::to_string(sequence_.last())},
                                         {"complete", list.complete ? "1" : "0"},
                                         {"ready", std::to_string(ready)},
                                         {"draining", std::to_string(draining)},
                                         {"gone", std::to_string(gone)},
                                         {"workers", ids.empty() ? "many" : ids}});
}

}  // namespace pathstack::feed

#include "membership_log.h"

#include <utility>

#include "shared_list.h"

namespace pathstack::soak {
namespace {

constexpr Millis kSequenceInterval{1000};

const char* phase_of(MemberState state) {
  switch (state) {
    case MemberState::ready: return "ready";
    case MemberState::draining: return "draining";
    case MemberState::gone: break;
  }
  return "gone";
}

}  // namespace

// A connection of an invoker, through its fault proxy.
class MembershipLog::Peer final : public net::Stream {
 public:
  Peer(MembershipLog& log, int invoker, net::Socket socket)
      : Stream(log.loop_, log.pool_, std::move(socket), false), log_(log), invoker_(invoker) {}
  bool has_subscribed() const { return has_subscribed_; }

 private:
  MembershipLog& log_;
  int invoker_;
  std::string line_;
  bool has_subscribed_ = false;

  void received(std::string_view bytes) override {
    line_ += bytes;
    const auto end = line_.find('\n');
    if (has_subscribed_ || end == std::string::npos) return;
    has_subscribed_ = true;
    log_.send_events(*this, invoker_, std::stoull(line_.substr(line_.find(' ') + 1, end)));
  }
  void ended() override { log_.peer_ended(*this, invoker_); }
};

MembershipLog::MembershipLog(net::Loop& loop, net::BufferPool& pool, Record& record,
                             std::function<Millis()> clock, int invokers, AddressOf address_of)
    : loop_(loop),
      pool_(pool),
      record_(record),
      clock_(std::move(clock)),
      address_of_(std::move(address_of)) {
  for (int invoker = 0; invoker < invokers; ++invoker) {
    Endpoint& endpoint = endpoints_[invoker];
    endpoint.listener = std::make_unique<Listener>(loop, [this, invoker](net::Socket socket) {
      endpoints_[invoker].peers.push_back(std::make_shared<Peer>(*this, invoker, std::move(socket)));
    });
  }
  send_sequence();
}

MembershipLog::~MembershipLog() { loop_.cancel(sequence_timer_); }

const std::string& MembershipLog::address(int invoker) const {
  return endpoints_.at(invoker).listener->address();
}

void MembershipLog::append(std::vector<MemberRow> rows) {
  for (const MemberRow& row : rows) record_.changes.push_back({clock_(), row.worker, row.state});
  events_.push_back(std::move(rows));
  for (auto& [invoker, endpoint] : endpoints_) {
    if (endpoint.sequence_only) continue;
    const std::string line = event(events_.size() - 1, invoker).dump() + "\n";
    for (const auto& peer : endpoint.peers) {
      for (int i = 0; i < writes_ && peer->has_subscribed(); ++i) peer->write(line);
    }
  }
}

void MembershipLog::set_sequence_only(int invoker, bool only) {
  Endpoint& endpoint = endpoints_.at(invoker);
  endpoint.sequence_only = only;
  // Closing the connections makes the invoker request the withheld events.
  for (const auto& peer : endpoint.peers) {
    if (!only) peer->end_later();
  }
}

nlohmann::json MembershipLog::event(std::size_t index, int invoker) const {
  nlohmann::json members = nlohmann::json::array();
  for (const MemberRow& row : events_[index]) {
    members.push_back({{"id", row.worker},
                       {"host_port", address_of_(row.worker, invoker)},
                       {"locality", row.zone},
                       {"flavor", "std"},
                       {"cell", 0},
                       {"phase", phase_of(row.state)},
                       {"size", 1},
                       {"up_since_ms", row.started_unix_ms}});
  }
  return {{"seq", index + 1},
          {"fleet", {{"revision", index + 1}, {"complete", index == 0}, {"members", members}}}};
}

nlohmann::json MembershipLog::known(int invoker) const {
  nlohmann::json results = nlohmann::json::array();
  for (std::size_t i = 0; i < events_.size(); ++i) results.push_back(event(i, invoker));
  return {{"seq", events_.size()}, {"results", results}};
}

void MembershipLog::send_events(Peer& peer, int invoker, std::uint64_t since) {
  record_.log_queries.push_back({invoker, clock_()});
  if (endpoints_.at(invoker).sequence_only) return;
  for (std::size_t i = since; i < events_.size(); ++i) peer.write(event(i, invoker).dump() + "\n");
  if (sequence_after_request_) peer.write(sequence_line());
}

void MembershipLog::peer_ended(Peer& peer, int invoker) {
  release(endpoints_.at(invoker).peers, peer, loop_);
}

std::string MembershipLog::sequence_line() const {
  const std::string number = std::to_string(events_.size());
  return sequence_as_object_ ? "{\"seq\":" + number + "}\n" : number + "\n";
}

void MembershipLog::send_sequence() {
  const std::string line = sequence_line();
  for (auto& [invoker, endpoint] : endpoints_) {
    for (const auto& peer : endpoint.peers) {
      if (peer->has_subscribed()) peer->write(line);
    }
  }
  sequence_timer_ = loop_.at(loop_.now() + kSequenceInterval, [this] { send_sequence(); });
}

}  // namespace pathstack::soak

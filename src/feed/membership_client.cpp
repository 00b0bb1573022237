#include "feed/membership_client.h"

#include <utility>

#include "config/membership_events.h"

namespace pathstack::feed {

using core::Millis;

bool LineSplitter::take(std::string_view bytes, std::vector<std::string>& out) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() > max_line_) return false;
    if (end == std::string_view::npos) break;
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (!line_.empty()) out.push_back(std::move(line_));
    line_.clear();
  }
  return true;
}

EventSequence::Result EventSequence::read_line(const std::string& line, core::MemberList& out) {
  auto read = config::read_membership_line(line);
  if (read.number) return *read.number > last_ ? Result::gap : Result::no_update;
  return read.event ? read_event(std::move(*read.event), out) : Result::malformed;
}

EventSequence::Result EventSequence::read_event(config::MembershipEvent&& event, core::MemberList& out) {
  if (!event.seq) return Result::malformed;
  const std::uint64_t seq = *event.seq;
  if (seq <= last_) return Result::no_update;
  if (seq != last_ + 1 && !event.list.complete)
    return Result::gap;  // a whole list makes up for all before it
  if (event.malformed) return Result::malformed;
  last_ = seq;
  if (!event.has_members) return Result::no_update;  // a kind of event that is none of ours
  out = std::move(event.list);
  return Result::update;
}

class MembershipClient::Connection final : public net::Stream {
 public:
  Connection(MembershipClient& feed, net::Socket socket)
      : Stream(feed.loop_, feed.pool_, std::move(socket), true), feed_(feed), cutter_(feed.max_event_) {
    start_timer(silence_, feed_.timeouts_.connect, [this] { give_up(core::Counter::feed_connect_late); });
  }
  ~Connection() override { cancel_timers(); }

 private:
  MembershipClient& feed_;
  LineSplitter cutter_;
  net::Loop::TimerId silence_{};  // rings when no byte has come for too long, or the connection is not made
  net::Loop::TimerId line_{};     // rings when no complete line has come for too long

  void start_timer(net::Loop::TimerId& timer, Millis within, std::function<void()> ring) {
    feed_.loop_.cancel(timer);
    timer = feed_.loop_.at(feed_.loop_.now() + within, std::move(ring));
  }
  void cancel_timers() {
    feed_.loop_.cancel(silence_);
    feed_.loop_.cancel(line_);
  }
  void give_up(core::Counter counter) {
    feed_.counters_.add(counter);
    end_later();
  }
  // Danger: a log that stops half-way through an event is as silent as one that says nothing.
  void expect_bytes() {
    start_timer(silence_, feed_.patience_.silence(), [this] {
      if (current()) feed_.patience_.silence_expired();
      give_up(core::Counter::feed_quiet);
    });
  }
  // Danger: a log may trickle for ever within one line.
  void expect_line() {
    start_timer(line_, feed_.patience_.line(), [this] {
      if (current()) feed_.patience_.line_expired();
      give_up(core::Counter::feed_line_late);
    });
  }
  void connected() override {
    feed_.counters_.add(core::Counter::feed_connections);
    write("since " + std::to_string(feed_.log_.last()) + "\n");
    expect_bytes();
    expect_line();
  }
  void received(std::string_view bytes) override {
    if (!current()) return;
    expect_bytes();
    std::vector<std::string> lines;
    const bool fits = cutter_.take(bytes, lines);
    for (const auto& line : lines) {
      if (!take(line)) return reject();  // ask again from the last event that was understood
    }
    if (!fits) return reject();
    if (!lines.empty()) expect_line();
  }
  // False for a line that cannot be understood, or that shows that one before it is missing.
  bool take(const std::string& line) {
    core::MemberList list;
    const auto read = feed_.log_.read_line(line, list);
    if (read != EventSequence::Result::update && read != EventSequence::Result::no_update) return false;
    feed_.backoff_.reset();
    feed_.patience_.line_received();
    if (read == EventSequence::Result::no_update) return true;
    feed_.patience_.update_received();
    feed_.counters_.add(core::Counter::feed_events);
    feed_.told_(list);
    return true;
  }
  void reject() {
    feed_.counters_.add(core::Counter::feed_malformed_or_gap);
    end_later();
  }
  void ended() override {
    cancel_timers();
    if (current()) feed_.again();
  }
  bool current() const { return feed_.connection_.get() == this; }  // false: the log has moved on
};

MembershipClient::MembershipClient(net::Loop& loop, net::BufferPool& pool, core::Counters& counters,
                                   std::string address, EventSequence log, Told told, std::size_t max_event,
                                   std::uint64_t seed, Timeouts timeouts)
    : loop_(loop),
      pool_(pool),
      counters_(counters),
      address_(std::move(address)),
      log_(log),
      told_(std::move(told)),
      max_event_(max_event),
      timeouts_(timeouts),
      backoff_(timeouts.backoff_first, timeouts.backoff_most, seed),
      patience_(timeouts) {}

MembershipClient::~MembershipClient() { loop_.cancel(timer_); }

void MembershipClient::connect() {
  net::Socket socket = net::connect_to(address_);
  if (!socket) return again();
  connection_ = std::make_shared<Connection>(*this, std::move(socket));
}

// Danger: the old address tells nothing more but stays open a while, and looks well. The new one is asked at
// once: what it has to tell counts as told before long.
void MembershipClient::move(const std::string& address) {
  if (address == address_) return;
  counters_.add(core::Counter::feed_moves);
  address_ = address;
  const std::shared_ptr<Connection> old = std::move(connection_);
  connection_.reset();
  if (old) {
    old->end_later();
    loop_.defer_destruction(old);
  }
  loop_.cancel(timer_);
  backoff_.reset();
  patience_ = StalenessTimeout(timeouts_);
  connect();
}

void MembershipClient::again() {
  if (connection_) loop_.defer_destruction(std::move(connection_));
  connection_.reset();
  loop_.cancel(timer_);
  timer_ = loop_.at(loop_.now() + backoff_.next(), [this] { connect(); });
}

}  // namespace pathstack::feed

#include "feed/feed.h"

#include <utility>

#include "config/membership_events.h"

namespace pathstack::feed {

using core::Millis;

bool LineCutter::take(std::string_view bytes, std::vector<std::string>& out) {
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

Log::Read Log::line(const std::string& line, core::MemberList& out) {
  auto read = config::read_membership_line(line);
  if (read.number) return *read.number > last_ ? Read::gap : Read::nothing;
  return read.event ? event(std::move(*read.event), out) : Read::malformed;
}

Log::Read Log::event(config::MembershipEvent&& event, core::MemberList& out) {
  if (!event.seq) return Read::malformed;
  const std::uint64_t seq = *event.seq;
  if (seq <= last_) return Read::nothing;
  if (seq != last_ + 1 && !event.list.complete) return Read::gap;  // a whole list makes up for all before it
  if (event.malformed) return Read::malformed;
  last_ = seq;
  if (!event.has_members) return Read::nothing;  // a kind of event that is none of ours
  out = std::move(event.list);
  return Read::news;
}

class Feed::Connection final : public net::Stream {
 public:
  Connection(Feed& feed, net::Socket socket)
      : Stream(feed.loop_, feed.pool_, std::move(socket), true), feed_(feed), cutter_(feed.max_event_) {
    start_timer(silence_, feed_.timeouts_.connect, [this] { give_up(core::Counter::feed_connect_late); });
  }
  ~Connection() override { cancel_timers(); }

 private:
  Feed& feed_;
  LineCutter cutter_;
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
      if (current()) feed_.patience_.silence_ran_out();
      give_up(core::Counter::feed_quiet);
    });
  }
  // Danger: a log may trickle for ever within one line.
  void expect_line() {
    start_timer(line_, feed_.patience_.line(), [this] {
      if (current()) feed_.patience_.line_ran_out();
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
    const auto read = feed_.log_.line(line, list);
    if (read != Log::Read::news && read != Log::Read::nothing) return false;
    feed_.backoff_.reset();
    feed_.patience_.line_received();
    if (read == Log::Read::nothing) return true;
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

Feed::Feed(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, std::string address, Log log,
           Told told, std::size_t max_event, std::uint64_t seed, Timeouts timeouts)
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

Feed::~Feed() { loop_.cancel(timer_); }

void Feed::connect() {
  net::Socket socket = net::connect_to(address_);
  if (!socket) return again();
  connection_ = std::make_shared<Connection>(*this, std::move(socket));
}

// Danger: the old address tells nothing more but stays open a while, and looks well. The new one is asked at
// once: what it has to tell counts as told before long.
void Feed::move(const std::string& address) {
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
  patience_ = Patience(timeouts_);
  connect();
}

void Feed::again() {
  if (connection_) loop_.defer_destruction(std::move(connection_));
  connection_.reset();
  loop_.cancel(timer_);
  timer_ = loop_.at(loop_.now() + backoff_.next(), [this] { connect(); });
}

}  // namespace pathstack::feed

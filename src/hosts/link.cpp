#include "hosts/link.h"

#include <algorithm>
#include <cmath>

namespace pathstack::hosts {
namespace {

using core::Outcome;
using net::field;

constexpr Millis kSuspectSilence{400};  // an attempt dropped after such a silence: the host may be cut off
constexpr Millis kLivenessInterval{50};
// An attempt carries the time that its client has left. One that leaves later than this, or an interval more,
// would carry more than is left.
constexpr Millis kMaxUnsentAge{80};
constexpr Millis kMinTimeout{1};          // the least that the protocol can tell
constexpr double kDrainGraceShare = 0.8;  // what has not left by then never will
constexpr Millis kMinDrainGrace{50};      // the limits on sockets are longer by so much
constexpr double kIdleShare = 0.8;        // closed before the host does, or an attempt could cross that
constexpr std::uint64_t kMaxCrowd = 30, kMaxInstances = 1000, kMaxNumber = 1000000;

std::optional<Outcome> outcome_of(const std::string& word) {
  static const std::map<std::string, Outcome> words = {
      {"data", Outcome::ok},   {"absent", Outcome::miss}, {"full", Outcome::full}, {"failed", Outcome::error},
      {"moot", Outcome::moot}, {"well", Outcome::ok},     {"ill", Outcome::error}};
  const auto found = words.find(word);
  return found == words.end() ? std::nullopt : std::optional<Outcome>(found->second);
}

core::Counter answer_counter(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok: return core::Counter::hosts_answers_data;
    case Outcome::miss: return core::Counter::hosts_answers_absent;
    case Outcome::full: return core::Counter::hosts_answers_full;
    case Outcome::moot: return core::Counter::hosts_answers_moot;
    default: return core::Counter::hosts_answers_failed;
  }
}

bool is_probe_answer(const std::string& word) { return word == "well" || word == "ill"; }

bool is_plain_id(const std::string& id) {
  return std::all_of(id.begin(), id.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z'); });
}

std::string fields_of(const core::Call& call) {
  const std::string fields = "sort=" + call.class_name + ",asset=" + call.function_name;
  return call.idempotency_key.empty() ? fields : fields + ",op=" + call.idempotency_key;
}

}  // namespace

Link::Link(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
           LinkObserver& observer, std::string host, net::Socket socket)
    : Stream(loop, pool, std::move(socket), true),
      counters_(counters),
      limits_(limits),
      observer_(observer),
      host_(std::move(host)),
      history_(limits.duplicate_window) {
  idle_timer_ = loop.at(loop.now() + limits_.connect_timeout, [this] {
    counters_.add(core::Counter::hosts_connect_timeouts);
    end_later();
  });
}

Link::~Link() {
  for (const auto& timer : {idle_timer_, drain_timer_, liveness_timer_}) loop().cancel(timer);
}

bool Link::accepts(const std::string& ref) const {
  const bool usable = !ending() && !retired_ && !suspect_;
  return usable && attempts_.size() < limits_.attempts_a_link && attempts_.count(ref) == 0 &&
         history_.reusable(ref, loop().now());
}

void Link::exec(const core::Attempt& attempt, const core::Call& call, Millis timeout) {
  const Millis now = loop().now();
  WaitingAttempt waiting{call.ref, fields_of(call), call.body, now + timeout};
  Sent sent;
  sent.attempt = attempt;
  sent.at = now;
  last_timeout_ = timeout;
  history_.reuse(call.ref);
  if (connecting()) {
    waiting_attempts_.push_back(std::move(waiting));
  } else {
    write_attempt(waiting, timeout, sent);
  }
  attempts_.emplace(call.ref, sent);
  update_idle_timer();
  watch_liveness();
}

bool Link::drop(const core::Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (found == attempts_.end()) return false;
  const std::string ref = found->first;
  const Sent sent = found->second;
  attempts_.erase(found);
  if (!sent.written) {
    const auto same = [&](const WaitingAttempt& waiting) { return waiting.ref == ref; };
    waiting_attempts_.erase(std::remove_if(waiting_attempts_.begin(), waiting_attempts_.end(), same),
                            waiting_attempts_.end());
    return false;
  }
  const Millis now = loop().now();
  // A host that is cut off says nothing for ever. What comes next tries a new connection: it proves more.
  if (now - std::max(liveness_.last_heard(), sent.at) > kSuspectSilence) suspect_ = true;
  // At once: the next attempt may leave on another connection in this very turn.
  write("drop " + ref + "\r\n");
  history_.dropped(ref, now, outbox().appended());
  const bool flushed = flush_now();
  if (!flushed) end_later();  // the host reads nothing; closing gives the attempt up
  update_idle_timer();
  // What was not handed over whole by now never will be.
  return outbox().written() >= sent.end;
}

void Link::order_load(const std::string& tag, std::uint64_t function, int instances) {
  send_request(tag, Request::Kind::load_order, function,
               "ensure " + tag + " asset=" + net::hex16(function) + ",count=" + std::to_string(instances));
}

void Link::probe(const std::string& tag) { send_request(tag, Request::Kind::probe, 0, "load " + tag); }

void Link::unload(std::uint64_t function) {
  write_line({{}, "release " + net::hex16(function)});
  update_idle_timer();
}

void Link::stop_using() {
  retired_ = true;
  update_idle_timer();
}

void Link::drain() {
  retired_ = true;
  if (connecting()) return end_later();
  if (!outbox().empty()) {
    // Bytes that a host does not read could leave long after it was told draining.
    loop().cancel(drain_timer_);
    const Millis grace = std::max(limits_.drain_grace * kDrainGraceShare, kMinDrainGrace);
    drain_timer_ = loop().at(loop().now() + grace, [this] {
      if (!outbox().empty()) end_later();
    });
  }
  update_idle_timer();
}

void Link::replace() {
  replaced_ = true;
  drain();
}

void Link::send_request(const std::string& tag, Request::Kind kind, std::uint64_t function,
                        const std::string& line) {
  const Millis now = loop().now();
  Request& request = requests_[tag];
  request.kind = kind;
  request.function = function;
  request.at = now;
  request.timer = loop().at(now + limits_.order_timeout, [this, tag] { request_timed_out(tag); });
  write_line({tag, line});
  update_idle_timer();
  watch_liveness();
}

// Lines without a tag get no answer.
void Link::write_line(const WaitingLine& line) {
  if (connecting()) {
    waiting_lines_.push_back(line);
    return;
  }
  const auto found = requests_.find(line.tag);
  if (found == requests_.end()) {
    if (line.tag.empty()) write(line.line + "\r\n");
    return;  // it has timed out while it waited for the connection
  }
  Request& request = found->second;
  if (request.kind == Request::Kind::load_order && !observer_.take_load_budget()) {
    return refuse_load_order(line.tag);
  }
  write(line.line + "\r\n");
  request.written = true;
  request.end = outbox().appended();
}

// Nothing is known of the instances there, as after a time-out.
void Link::refuse_load_order(const std::string& tag) {
  Request& request = requests_.at(tag);
  loop().cancel(request.timer);
  request.timer = loop().at(loop().now(), [this, tag] { request_timed_out(tag); });
}

// Nothing is written past the client's time; the dispatcher drops the attempt in its next turn.
void Link::write_attempt(const WaitingAttempt& attempt, Millis timeout, Sent& sent) {
  if (timeout < kMinTimeout) return;
  const auto whole = static_cast<std::int64_t>(std::floor(timeout.count()));
  std::string message = "exec " + attempt.ref + ' ' + attempt.fields + ",patience=" + std::to_string(whole) +
                        ' ' + std::to_string(attempt.body.size()) + "\r\n";
  message += attempt.body;
  message += "\r\n";
  write(message);
  sent.written = true;
  sent.written_at = loop().now();
  sent.end = outbox().appended();
}

void Link::connected() {
  const Millis now = loop().now();
  liveness_.connected(now);
  counters_.add(core::Counter::hosts_links_up);
  const auto lines = std::move(waiting_lines_);
  const auto attempts = std::move(waiting_attempts_);
  waiting_lines_.clear();
  waiting_attempts_.clear();
  for (const auto& line : lines) write_line(line);
  for (const auto& attempt : attempts) {
    write_attempt(attempt, attempt.until - now, attempts_.at(attempt.ref));
  }
  update_idle_timer();
}

void Link::received(std::string_view bytes) {
  suspect_ = false;
  std::vector<Reply> replies;
  bool sound = parser_.take(bytes, replies);
  liveness_.received(loop().now(), parser_.begun(), !replies.empty());
  for (auto& reply : replies) {
    if (ending()) return;
    if (take(std::move(reply))) continue;
    sound = false;  // what follows it proves no more than it does
    break;
  }
  if (!sound) {
    counters_.add(core::Counter::hosts_malformed);
    end_later();
  }
  update_idle_timer();
}

// False if it is spoilt: whatever is out on the link then ends as what it is, something that may have run.
bool Link::take(Reply&& reply) {
  const auto fields = net::parse_fields(reply.fields);
  if (!fields || !is_plain_id(reply.id) || !outcome_of(reply.word)) return false;
  if (const auto attempt = attempts_.find(reply.id); attempt != attempts_.end()) {
    return take_attempt_answer(attempt, std::move(reply), *fields);
  }
  if (const auto request = requests_.find(reply.id); request != requests_.end()) {
    take_request_answer(request, reply, *fields);
  } else {
    take_other_answer(reply.id);
  }
  return true;
}

bool Link::take_attempt_answer(std::map<std::string, Sent>::iterator found, Reply&& reply,
                               const net::Fields& fields) {
  const Outcome outcome = *outcome_of(reply.word);
  // An answer that lost its end would be served as an empty body, which no host has given.
  if (is_probe_answer(reply.word) || (outcome == Outcome::ok && !reply.body)) return false;
  const Sent sent = found->second;
  attempts_.erase(found);
  liveness_.reset_backoff();
  history_.answered(reply.id, loop().now());
  history_.confirm_read(sent.end);
  counters_.add(answer_counter(outcome));
  const auto crowd = std::min(net::parse_whole(field(fields, "crowd"), kMaxNumber).value_or(0), kMaxCrowd);
  observer_.on_attempt_ended(sent.attempt, {outcome, static_cast<int>(crowd), read_report(field(fields, "l")),
                                            reply.body.value_or("")});
  return true;
}

void Link::take_request_answer(std::map<std::string, Request>::iterator found, const Reply& reply,
                               const net::Fields& fields) {
  const Request request = found->second;
  loop().cancel(request.timer);
  requests_.erase(found);
  history_.confirm_read(request.end);
  const auto instances = net::parse_whole(field(fields, "count"), kMaxInstances).value_or(0);
  end_request(request, *outcome_of(reply.word), static_cast<int>(instances), read_report(field(fields, "l")));
}

void Link::take_other_answer(const std::string& id) {
  if (history_.take_late_answer(id, loop().now()) == RefHistory::Late::first) {
    counters_.add(core::Counter::hosts_late_answers);  // to an attempt dropped meanwhile
    return;
  }
  // More than belongs to it: what is out here keeps its own answers, nothing new is sent.
  counters_.add(core::Counter::hosts_surplus_answers);
  stop_using();
}

void Link::request_timed_out(const std::string& tag) {
  const auto found = requests_.find(tag);
  if (found == requests_.end()) return;
  const Request request = found->second;
  requests_.erase(found);
  liveness_.reset_backoff();
  update_idle_timer();
  end_request(request, Outcome::timeout, 0, std::nullopt);
}

void Link::end_request(const Request& request, Outcome outcome, int instances, core::Report report) {
  const Millis elapsed = loop().now() - request.at;
  if (request.kind == Request::Kind::load_order) {
    observer_.on_load_ended({host_, request.function, outcome, elapsed, instances});
  } else if (request.kind == Request::Kind::probe) {
    observer_.on_probe_ended({host_, outcome, elapsed, std::move(report)});
  }
}

core::Report Link::read_report(const std::string& text) const {
  const auto fields = net::parse_fields(text, ';', ':');
  if (text.empty() || !fields) return std::nullopt;
  std::vector<double> values;
  for (const auto& name : limits_.report_fields) {
    const auto value = net::parse_number(field(*fields, name));
    if (!value) return std::nullopt;  // the module reads by place: a gap would shift the rest
    values.push_back(*value);
  }
  return values;
}

void Link::watch_liveness() {
  liveness_.sent(loop().now());
  if (std::exchange(watching_, true)) return;  // one timer a link
  liveness_timer_ = loop().at(loop().now() + kLivenessInterval, [this] { check_liveness(); });
}

bool Link::has_stale_attempt(Millis now) const {
  if (outbox().empty()) return false;
  return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
    const Sent& sent = entry.second;
    const bool unsent = sent.written && sent.end > outbox().written();
    return unsent && now - sent.written_at > kMaxUnsentAge;
  });
}

void Link::check_liveness() {
  watching_ = false;
  if (load() == 0 || ending()) return;
  const Millis now = loop().now();
  // What waits since a stall of this program's own loop, no host has refused yet.
  const bool refused = has_stale_attempt(now) && !flush_now() && has_stale_attempt(now);
  if (refused) {
    counters_.add(core::Counter::hosts_stalled_links);
    return end_later();
  }
  const auto verdict =
      open() ? liveness_.judge(now, last_timeout_, attempts_.size()) : Liveness::Verdict::fine;
  if (verdict == Liveness::Verdict::answer_cut_off || verdict == Liveness::Verdict::silent) {
    const bool cut_off = verdict == Liveness::Verdict::answer_cut_off;
    counters_.add(cut_off ? core::Counter::hosts_cut_answers : core::Counter::hosts_silent_links);
    return end_later();
  }
  if (verdict == Liveness::Verdict::check_due && limits_.probes) {
    liveness_.checked(now);
    counters_.add(core::Counter::hosts_health_checks);
    const std::string tag = "h" + std::to_string(++health_checks_);
    send_request(tag, Request::Kind::health_check, 0, "health " + tag);
  }
  if (std::exchange(watching_, true)) return;
  liveness_timer_ = loop().at(now + kLivenessInterval, [this] { check_liveness(); });
}

// Idle from now on, until something goes out again.
void Link::update_idle_timer() {
  if (connecting()) return;
  loop().cancel(idle_timer_);
  if (load() > 0) return;
  const Millis idle = retired_ || suspect_ ? Millis(0) : limits_.idle * kIdleShare;
  idle_timer_ = loop().at(loop().now() + idle, [this] { end_later(); });
}

void Link::backlog_discarded() { counters_.add(core::Counter::hosts_unread_closed); }

void Link::ended() {
  for (const auto& timer : {idle_timer_, drain_timer_, liveness_timer_}) loop().cancel(timer);
  const auto attempts = std::move(attempts_);
  const auto requests = std::move(requests_);
  attempts_.clear();
  requests_.clear();
  observer_.on_link_closed(*this);  // this object lives to the turn's end
  // Only a close or a reset shows that the process may have died: a network that gave up, a silence or an
  // answer that can't be understood does not.
  const bool ended_by_host =
      end_cause() == net::StreamEnd::closed_by_peer || end_cause() == net::StreamEnd::reset_by_peer;
  const auto outcome = [&](bool written, std::uint64_t end) {
    if (!written || outbox().written() < end) return Outcome::connect_failed;
    return ended_by_host ? Outcome::reset : Outcome::unreachable;
  };
  if (!liveness_.ever_connected()) counters_.add(core::Counter::hosts_links_refused);
  for (const auto& [ref, sent] : attempts) {
    observer_.on_attempt_ended(sent.attempt, {outcome(sent.written, sent.end), 0, std::nullopt, {}});
  }
  for (const auto& [tag, request] : requests) {
    loop().cancel(request.timer);
    end_request(request, outcome(request.written, request.end), 0, std::nullopt);
  }
}

}  // namespace pathstack::hosts

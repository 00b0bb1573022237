#include "hosts/connection.h"

#include <algorithm>
#include <utility>

namespace pathstack::hosts {
namespace {

using core::Outcome;

// After a silence of this length, a cancelled attempt makes the connection suspect: the host may be
// unreachable.
constexpr Millis kSuspectAfterSilence{400};
// A draining connection ends after this share of the drain grace if bytes are still unsent.
constexpr double kDrainGraceShare = 0.8;
constexpr Millis kMinDrainGrace{50};  // the platform's limits on sockets exceed the drain grace by this much
// Share of the host's idle time-out after which an idle connection is closed: an attempt could otherwise
// cross with the close by the host.
constexpr double kIdleShare = 0.8;

core::Counter answer_counter(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok: return core::Counter::hosts_answers_data;
    case Outcome::miss: return core::Counter::hosts_answers_absent;
    case Outcome::full: return core::Counter::hosts_answers_full;
    case Outcome::moot: return core::Counter::hosts_answers_moot;
    default: return core::Counter::hosts_answers_failed;
  }
}

}  // namespace

Connection::Connection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
                       ConnectionObserver& observer, std::string host, net::Socket socket)
    : Stream(loop, pool, std::move(socket), true),
      counters_(counters),
      limits_(limits),
      observer_(observer),
      host_(std::move(host)),
      parser_([this](std::size_t held, std::size_t more) { return observer_.may_buffer(held, more); }),
      decoder_(limits.report_fields),
      history_(limits.duplicate_window),
      attempts_(*this),
      requests_(
          loop, *this, limits.order_timeout, [this] { return observer_.take_load_budget(); },
          [this](const OpenRequest& request) { request_timed_out(request); }),
      monitor_(loop, *this, counters, attempts_, requests_, limits.allow_probes) {
  idle_timer_ = loop.at(loop.now() + limits_.connect_timeout, [this] {
    counters_.add(core::Counter::hosts_connect_timeouts);
    end_later();
  });
}

Connection::~Connection() { cancel_timers(); }

void Connection::cancel_timers() {
  loop().cancel(idle_timer_);
  loop().cancel(drain_timer_);
  monitor_.stop();
}

bool Connection::accepts(const std::string& ref) const {
  const bool usable = !ending() && !retired_ && !suspect_;
  return usable && attempts_.size() < limits_.max_attempts_per_connection && !attempts_.contains(ref) &&
         history_.reusable(ref, loop().now());
}

void Connection::exec(const core::Attempt& attempt, const core::Call& call, Millis timeout) {
  history_.reuse(call.ref);
  attempts_.add(attempt, call, loop().now(), timeout);
  report_buffered_bytes();
  update_idle_timer();
  monitor_.watch();
}

bool Connection::cancel(const core::Attempt& attempt) {
  const auto ref = attempts_.ref_of(attempt);
  if (!ref) return false;
  const auto cancelled = attempts_.remove(*ref);
  report_buffered_bytes();
  if (!cancelled->message.written) return false;
  const Millis now = loop().now();
  // A host that is unreachable stays silent. Later requests use a new connection, which shows whether the
  // host can be reached.
  const Millis silent_since = std::max(monitor_.liveness().last_received(), cancelled->added_at);
  if (now - silent_since > kSuspectAfterSilence) suspect_ = true;
  // Flushed immediately, as the next attempt may be sent on another connection in the same turn.
  write(encode_cancel(*ref));
  history_.cancelled(*ref, now, outbox().appended());
  const bool flushed = flush_now();
  if (!flushed) end_later();  // the host does not read; closing the connection cancels the attempt
  update_idle_timer();
  // If the attempt is incomplete at this point, its rest is never sent.
  return cancelled->message.has_left(outbox());
}

void Connection::order_load(const std::string& tag, std::uint64_t function, int instances) {
  send_request(tag, OpenRequest::Kind::load_order, function, encode_load_order(tag, function, instances));
}

void Connection::probe(const std::string& tag) {
  send_request(tag, OpenRequest::Kind::probe, 0, encode_probe(tag));
}

void Connection::unload(std::uint64_t function) {
  requests_.send_unanswered(encode_release(function));
  update_idle_timer();
}

void Connection::send_request(const std::string& tag, OpenRequest::Kind kind, std::uint64_t function,
                              const std::string& message) {
  requests_.add(tag, kind, function, message);
  update_idle_timer();
  monitor_.watch();
}

void Connection::retire() {
  retired_ = true;
  update_idle_timer();
}

void Connection::drain() {
  retired_ = true;
  if (connecting()) return end_later();
  if (!outbox().empty()) {
    // Bytes that the host does not read could be sent long after the list of hosts reported the drain.
    loop().cancel(drain_timer_);
    const Millis grace = std::max(limits_.drain_grace * kDrainGraceShare, kMinDrainGrace);
    drain_timer_ = loop().at(loop().now() + grace, [this] {
      if (!outbox().empty()) end_later();
    });
  }
  update_idle_timer();
}

void Connection::mark_replaced() {
  replaced_ = true;
  drain();
}

void Connection::connected() {
  const Millis now = loop().now();
  monitor_.liveness().connected(now);
  counters_.add(core::Counter::hosts_links_up);
  const auto may_write = [this](Millis added_at) { return observer_.may_still_write(added_at); };
  requests_.connected(may_write);
  const auto stopped = attempts_.connected(now, may_write);
  report_buffered_bytes();
  update_idle_timer();
  for (const auto& open : stopped) {
    observer_.on_attempt_ended(open.attempt, {Outcome::not_sent, 0, std::nullopt, {}});
  }
}

void Connection::received(std::string_view bytes) {
  suspect_ = false;
  std::vector<Reply> replies;
  bool well_formed = parser_.take(bytes, replies);
  report_buffered_bytes();
  monitor_.liveness().received(loop().now(), parser_.has_partial_reply(), !replies.empty());
  for (auto& reply : replies) {
    if (ending()) return;
    if (handle_answer(std::move(reply))) continue;
    well_formed = false;  // replies after a malformed one are not trusted
    break;
  }
  if (!well_formed) {
    counters_.add(parser_.memory_refused() ? core::Counter::hosts_no_memory : core::Counter::hosts_malformed);
    end_later();
  }
  update_idle_timer();
}

// Returns false if the reply is malformed. Open attempts then end as attempts that may have run.
bool Connection::handle_answer(Reply&& reply) {
  auto answer = decoder_.decode(std::move(reply));
  if (!answer) return false;
  if (attempts_.contains(answer->id)) return handle_attempt_answer(std::move(*answer));
  if (const auto request = requests_.remove(answer->id)) {
    handle_request_answer(*request, std::move(*answer));
  } else {
    handle_unexpected_answer(answer->id);
  }
  return true;
}

bool Connection::handle_attempt_answer(Answer&& answer) {
  if (!answer.fits_attempt()) return false;
  const auto open = attempts_.remove(answer.id);
  monitor_.liveness().reset_backoff();
  history_.answered(answer.id, loop().now());
  history_.confirm_read(open->message.end);
  counters_.add(answer_counter(answer.outcome));
  core::AttemptEnd end{answer.outcome, answer.concurrent_calls, std::move(answer.report),
                       std::move(answer.body).value_or("")};
  observer_.on_attempt_ended(open->attempt, std::move(end));
  return true;
}

void Connection::handle_request_answer(const OpenRequest& request, Answer&& answer) {
  history_.confirm_read(request.message.end);
  report_request_end(request, answer.outcome, answer.instances, std::move(answer.report));
}

void Connection::handle_unexpected_answer(const std::string& id) {
  if (history_.record_late_answer(id, loop().now()) == RefHistory::LateAnswer::first) {
    counters_.add(core::Counter::hosts_late_answers);  // of an attempt that was cancelled in the meantime
    return;
  }
  // The answer belongs to no request. Open requests still take their own answers; no new one is accepted.
  counters_.add(core::Counter::hosts_surplus_answers);
  retire();
}

void Connection::request_timed_out(const OpenRequest& request) {
  monitor_.liveness().reset_backoff();
  update_idle_timer();
  report_request_end(request, Outcome::timeout, 0, std::nullopt);
}

// The end of a health check is not reported.
void Connection::report_request_end(const OpenRequest& request, Outcome outcome, int instances,
                                    core::Report report) {
  const Millis elapsed = loop().now() - request.added_at;
  if (request.kind == OpenRequest::Kind::load_order) {
    observer_.on_load_ended({host_, request.function, outcome, elapsed, instances});
  } else if (request.kind == OpenRequest::Kind::probe) {
    observer_.on_probe_ended({host_, outcome, elapsed, std::move(report)});
  }
}

// Restarts the idle timer. No idle timer runs while a request is open.
void Connection::update_idle_timer() {
  if (connecting()) return;
  loop().cancel(idle_timer_);
  if (load() > 0) return;
  const bool usable = !retired_ && !suspect_;
  const Millis idle = usable ? limits_.idle_timeout * kIdleShare : Millis(0);
  idle_timer_ = loop().at(loop().now() + idle, [this] { end_later(); });
}

void Connection::report_buffered_bytes() {
  const std::size_t bytes = parser_.buffered_bytes() + attempts_.waiting_bytes();
  const std::size_t before = std::exchange(reported_buffered_bytes_, bytes);
  if (bytes != before) {
    observer_.on_buffered_changed(static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(before));
  }
}

void Connection::backlog_discarded() { counters_.add(core::Counter::hosts_unread_closed); }

// Only a close or a reset by the host indicates that its process may have died. A network failure, a silent
// host or a malformed answer does not.
Outcome Connection::outcome_at_end(const SentMessage& message) const {
  if (!message.has_left(outbox())) return Outcome::connect_failed;
  const bool ended_by_host =
      end_cause() == net::StreamEnd::closed_by_peer || end_cause() == net::StreamEnd::reset_by_peer;
  return ended_by_host ? Outcome::reset : Outcome::unreachable;
}

void Connection::ended() {
  cancel_timers();
  const auto attempts = attempts_.remove_all();
  const auto requests = requests_.remove_all();
  parser_ = LineParser();
  report_buffered_bytes();
  observer_.on_connection_closed(*this);  // this object stays alive until the end of the turn
  if (!monitor_.liveness().ever_connected()) counters_.add(core::Counter::hosts_links_refused);
  for (const auto& open : attempts) {
    observer_.on_attempt_ended(open.attempt, {outcome_at_end(open.message), 0, std::nullopt, {}});
  }
  for (const auto& request : requests) {
    report_request_end(request, outcome_at_end(request.message), 0, std::nullopt);
  }
}

}  // namespace pathstack::hosts

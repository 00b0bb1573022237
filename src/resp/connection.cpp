#include "resp/connection.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace pathstack::resp {
namespace {

constexpr std::size_t kMaxRejectedCalls = 64;    // per connection
constexpr std::size_t kMaxRefusedRequests = 64;  // per connection; more than may be open at once
// For the input of a refused connection. With `Limits::request_timeout` before, its client waits for 3 s at
// most.
constexpr core::Millis kRefusalTimeout{500};
constexpr std::size_t kMaxUnreadBytes = 1U << 20;  // replies not written to the socket yet, per connection

// Drops calls whose cancellation was read together with them, and returns their number. Each would cause work
// on a host, and a client can send hundreds of such calls at once.
std::size_t drop_cancelled_calls(std::vector<Message>& requests,
                                 const std::unordered_map<std::string, core::CallId>& open_calls) {
  std::unordered_set<std::string> cancelled;
  const auto is_cancelled = [&](const Message& request) {
    const Words& words = request.words;
    if (words.size() < 2) return false;
    if (words[0] == "CANCEL") cancelled.insert(words[1]);
    return words[0] == "CALL" && open_calls.count(words[1]) == 0 && cancelled.count(words[1]) != 0;
  };
  // Iterates in reverse, so that a cancellation is found before the call that it refers to.
  const auto kept_end = std::remove_if(requests.rbegin(), requests.rend(), is_cancelled);
  const auto dropped = static_cast<std::size_t>(requests.rend() - kept_end);
  requests.erase(requests.begin(), kept_end.base());
  return dropped;
}

}  // namespace

Connection::Connection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
                       ConnectionObserver& observer, net::Socket socket)
    : Stream(loop, pool, std::move(socket), false),
      counters_(counters),
      limits_(limits),
      observer_(observer),
      parser_([this](std::size_t bytes) { return !rejected_ && observer_.may_buffer(*this, bytes); }) {
  restart_request_timer();
}

Connection::~Connection() { loop().cancel(request_timer_); }

bool Connection::is_idle() const {
  return open_calls_.empty() && outbox().empty() && !has_partial_request() && !has_input();
}

std::optional<core::CallId> Connection::find_call(const std::string& tag) const {
  const auto found = open_calls_.find(tag);
  if (found == open_calls_.end()) return std::nullopt;
  return found->second;
}

std::vector<core::CallId> Connection::open_call_ids() const {
  std::vector<core::CallId> ids;
  ids.reserve(open_calls_.size());
  for (const auto& [tag, id] : open_calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

void Connection::on_all_answered() {
  if (request_overdue_ || rejected_) close();
}

std::size_t Connection::unanswered_calls() {
  unwritten_answers_.remove_written(outbox().written());
  return open_calls_.size() + unwritten_answers_.size();
}

void Connection::reply(const std::string& tag, std::string_view bytes) {
  write(bytes);
  unwritten_answers_.remove_written(outbox().written());
  unwritten_answers_.add(tag, outbox().appended());
  // Protects the buffer pool from clients that do not read. The open calls of such a client can still add a
  // bounded number of answers.
  const std::size_t unread = outbox().appended() - outbox().written();
  if (unread <= kMaxUnreadBytes || rejected_) return;
  counters_.add(core::Counter::resp_unread_closed);
  reject_input();
}

void Connection::pace_refusals() {
  const core::Millis wait = refusal_pacer_.note(loop().turn_began());
  if (wait.count() <= 0) return;
  pause_reading(wait);
  // What is read next may have come as early as now.
  waiting_since_ = loop().turn_began();
  first_read_.reset();
}

void Connection::count_rejected_call() {
  if (++rejected_calls_ <= kMaxRejectedCalls) return;
  counters_.add(core::Counter::resp_faults_closed);
  reject_input();
}

void Connection::reject_input() {
  if (rejected_) return;
  rejected_ = true;
  if (open_calls_.empty()) return close();
  restart_timer(limits_.rejected_timeout, [this] { observer_.on_answers_overdue(*this); });
}

void Connection::close() {
  if (rejected_) stop_receiving();                   // no call is open that the client could cancel
  if (outbox().appended() == 0) return end_later();  // nothing was sent that a reset could discard
  end_when_written();
  // Bounds the time for which a client that does not read its answers holds the descriptor.
  restart_timer(limits_.request_timeout, [this] { end_later(); });
  report_closing();
}

void Connection::report_closing() {
  if (!std::exchange(closing_reported_, true)) observer_.on_closing(*this);
}

void Connection::restart_timer(core::Millis delay, std::function<void()> callback) {
  loop().cancel(request_timer_);
  request_timer_ = loop().at(loop().now() + delay, std::move(callback));
}

// Without the timer, a client that sends a partial request or none would hold a descriptor indefinitely.
void Connection::restart_request_timer() {
  restart_timer(limits_.request_timeout, [this] { on_request_overdue(); });
}

// Starts, restarts or cancels the timer after input. The time limit of each request runs from the input that
// contains its first byte; only for the first request of a connection does it run from the accept.
void Connection::update_request_timer(bool request_complete) {
  const bool partial = parser_.has_partial_message();
  if (awaits_request_ && (request_complete || !partial)) {
    loop().cancel(request_timer_);
    request_overdue_ = false;
    keep_open();  // the request became complete in the turn in which the last open call was answered
    closing_reported_ = false;
  }
  if (partial && (!awaits_request_ || request_complete)) restart_request_timer();
  awaits_request_ = partial || !has_sent_request_;
}

// Open calls still get their answers. Until then the connection stays open, and the rest of the request is
// accepted.
void Connection::on_request_overdue() {
  counters_.add(has_sent_request_ ? core::Counter::resp_half_request : core::Counter::resp_no_request);
  if (open_calls_.empty()) return close();
  request_overdue_ = true;
}

// Input that is read in a later turn than the first bytes did not wait for the accept of the connection, so
// `waiting_since_` no longer applies.
void Connection::update_arrival_time() {
  const core::Millis turn = loop().turn_began();
  if (!first_read_) first_read_ = turn;
  if (*first_read_ != turn) waiting_since_.reset();
}

void Connection::backlog_discarded() { counters_.add(core::Counter::resp_unread_closed); }

void Connection::received(std::string_view bytes) {
  update_arrival_time();
  std::vector<Message> requests;
  const bool well_formed = parser_.take(bytes, requests);
  report_buffered_bytes(parser_.buffered_bytes());
  const bool request_complete = !requests.empty();
  if (request_complete && !rejected_) {
    has_sent_request_ = true;
    if (!refused_ && !observer_.on_requests_read(*this)) begin_refusal();
  }
  const std::size_t dropped = drop_cancelled_calls(requests, open_calls_);
  if (dropped > 0) counters_.add(core::Counter::resp_taken_back, dropped);
  if (refused_) return refuse(requests, well_formed);
  if (!rejected_) update_request_timer(request_complete);
  process(std::move(requests));
  if (well_formed) return;
  if (!rejected_) counters_.add(core::Counter::resp_malformed);
  stop_receiving();
  reject_input();
}

// Of the requests after a protocol error only cancels are processed: a host must not begin a call that its
// client has left.
void Connection::process(std::vector<Message>&& requests) {
  for (auto& request : requests) {
    if (ending()) return;
    if (rejected_ && request.words.front() != "CANCEL") continue;
    observer_.on_request(*this, std::move(request));
  }
}

// The connection stays open until no input is left unread, for `kRefusalTimeout` at most.
void Connection::begin_refusal() {
  counters_.add(core::Counter::resp_no_place);
  refused_ = true;
  restart_timer(kRefusalTimeout, [this] { end_later(); });
}

// The client has done nothing wrong, so all requests that come before the end of the connection get a reply,
// up to a bound for clients that never stop.
void Connection::refuse(const std::vector<Message>& requests, bool well_formed) {
  for (const auto& request : requests) observer_.on_refused_request(*this, request);
  refused_requests_ += requests.size();
  const bool is_over_limit = refused_requests_ > kMaxRefusedRequests;
  if (!well_formed || is_over_limit) stop_receiving();
  if (outbox().appended() > 0) report_closing();
  end_when_written();
}

bool Connection::may_shut_down() {
  const bool must_read = refused_ && !discards_input() && has_input();
  if (must_read) report_closing();
  return !must_read;
}

void Connection::report_buffered_bytes(std::size_t bytes) {
  const std::size_t before = std::exchange(reported_buffered_bytes_, bytes);
  if (bytes != before) {
    observer_.on_buffered_changed(static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(before));
  }
}

void Connection::ended() {
  loop().cancel(request_timer_);
  report_buffered_bytes(0);
  observer_.on_closed(*this);
}

}  // namespace pathstack::resp

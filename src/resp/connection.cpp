#include "resp/connection.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace pathstack::resp {
namespace {

constexpr std::size_t kMaxRejectedCalls = 64;      // of one connection
constexpr std::size_t kMaxUnreadBytes = 1U << 20;  // answers that a client has not read

// Drops calls that are cancelled in the very bytes they came in: each would cost a worker something, and a
// client may send hundreds at once. Gives their number.
std::size_t drop_cancelled_calls(std::vector<Words>& requests,
                                 const std::unordered_map<std::string, core::CallId>& open_calls) {
  std::unordered_set<std::string> cancelled;
  const auto is_cancelled = [&](const Words& words) {
    if (words.size() < 2) return false;
    if (words[0] == "CANCEL") cancelled.insert(words[1]);
    return words[0] == "CALL" && open_calls.count(words[1]) == 0 && cancelled.count(words[1]) != 0;
  };
  // From the last to the first, so that a cancellation is seen before its call.
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
      observer_(observer) {
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

void Connection::reply(std::string_view bytes) {
  write(bytes);
  // Guards the pool against a client that does not read. What it has open adds a bounded number of answers.
  const std::size_t unread = outbox().appended() - outbox().written();
  if (unread <= kMaxUnreadBytes || discards_input()) return;
  counters_.add(core::Counter::resp_unread_closed);
  reject_input();
}

void Connection::count_rejected_call() {
  if (++rejected_calls_ <= kMaxRejectedCalls) return;
  counters_.add(core::Counter::resp_faults_closed);
  reject_input();
}

void Connection::reject_input() {
  if (rejected_) return;
  rejected_ = true;
  stop_receiving();
  if (open_calls_.empty()) return close();
  restart_timer(limits_.rejected_timeout, [this] { observer_.on_answers_overdue(*this); });
}

void Connection::close() {
  if (outbox().appended() == 0) return end_later();  // no answer that a reset could overtake
  end_when_written();
  // A client that does not read its answers does not keep the descriptor either.
  restart_timer(limits_.request_timeout, [this] { end_later(); });
  observer_.on_closing(*this);
}

void Connection::restart_timer(core::Millis delay, std::function<void()> callback) {
  loop().cancel(request_timer_);
  request_timer_ = loop().at(loop().now() + delay, std::move(callback));
}

// Half a request, or none, would hold a descriptor for good.
void Connection::restart_request_timer() {
  restart_timer(limits_.request_timeout, [this] { on_request_overdue(); });
}

// Each begun request has a timer of its own: the next one's time starts with its own first byte.
void Connection::update_request_timer(bool request_complete) {
  const bool partial = parser_.has_partial_message();
  if (awaits_request_ && (request_complete || !partial)) {
    loop().cancel(request_timer_);
    request_overdue_ = false;
    keep_open();  // the rest has come in the very turn in which the last open call was answered
  }
  if (partial && (!awaits_request_ || request_complete)) restart_request_timer();
  awaits_request_ = partial || !has_sent_request_;
}

// What is open still gets its answer, and until then the rest may still come.
void Connection::on_request_overdue() {
  counters_.add(has_sent_request_ ? core::Counter::resp_half_request : core::Counter::resp_no_request);
  if (open_calls_.empty()) return close();
  request_overdue_ = true;
}

// What is read in a later turn than the first bytes did not wait for the connection to be accepted.
void Connection::update_arrival_time() {
  const core::Millis turn = loop().turn_began();
  if (!first_read_) first_read_ = turn;
  if (*first_read_ != turn) waiting_since_.reset();
}

void Connection::backlog_discarded() { counters_.add(core::Counter::resp_unread_closed); }

void Connection::received(std::string_view bytes) {
  update_arrival_time();
  std::vector<Words> requests;
  const bool well_formed = parser_.take(bytes, requests);
  const bool request_complete = !requests.empty();
  if (request_complete) {
    has_sent_request_ = true;
    if (!observer_.on_requests_read(*this)) return observer_.on_refused(*this, requests);
  }
  update_request_timer(request_complete);
  const std::size_t dropped = drop_cancelled_calls(requests, open_calls_);
  if (dropped > 0) counters_.add(core::Counter::resp_taken_back, dropped);
  for (auto& words : requests) {
    if (rejected_ || ending()) return;  // what came behind a fault is not begun
    observer_.on_request(*this, std::move(words));
  }
  if (well_formed) return;
  counters_.add(core::Counter::resp_malformed);
  reject_input();
}

void Connection::ended() {
  loop().cancel(request_timer_);
  observer_.on_closed(*this);
}

}  // namespace pathstack::resp

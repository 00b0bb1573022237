#include "resp/front.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_set>

#include "resp/reply.h"
#include "resp/request_decoder.h"

namespace pathstack::resp {
namespace {

constexpr std::size_t kMaxRejectedCalls = 64;      // of one connection
constexpr std::size_t kMaxUnreadBytes = 1U << 20;  // answers that a client has not read

core::Counter counter_of(RequestError error) {
  if (error == RequestError::bad_tag) return core::Counter::resp_no_tag;
  if (error == RequestError::unknown_verb) return core::Counter::resp_unknown_verb;
  if (error == RequestError::wrong_word_count) return core::Counter::resp_bad_call;
  return core::Counter::resp_bad_fields;
}

}  // namespace

class Front::Client final : public net::Stream {
 public:
  Client(Front& front, net::Socket socket)
      : Stream(front.loop_, front.pool_, std::move(socket), false), front_(front) {
    expect_whole();
  }
  ~Client() override { loop().cancel(request_timer_); }
  std::unordered_map<std::string, core::CallId> open_calls;
  Clients* list = nullptr;  // of the front, in which it stands at `place`
  Clients::iterator place;
  bool asked = false;  // has sent a whole request
  std::size_t faults = 0;

  // Closing it loses no request, but for one that crosses the close.
  bool idle() const { return open_calls.empty() && outbox().empty() && !reading() && !has_input(); }
  bool reading() const { return parser_.begun(); }
  // The client broke the protocol: nothing more is taken from it, and the connection ends once the calls that
  // are open have their final answers.
  void reject_input() {
    if (rejected_) return;
    rejected_ = true;
    stop_receiving();
    if (open_calls.empty()) return close();
    restart_timer(front_.limits_.rejected_timeout, [this] { front_.fail_open_calls(*this); });
  }
  // Its first bytes may have come at any time since then, while connections could not be accepted.
  void waited_since(core::Millis time) { waited_since_ = time; }
  // When what is read now had come at the earliest. Time spent on what was read before comes off, too.
  core::Millis arrival_of_input() const { return waited_since_.value_or(loop().turn_began()); }
  // The last open call was answered: closes a connection that had to wait for it.
  void all_answered() {
    if (overdue_ || rejected_) close();
  }
  void close() {
    if (outbox().appended() == 0) return end_later();  // no answer that a reset could overtake
    end_when_written();
    // A client that does not read its answers does not keep the descriptor either.
    restart_timer(front_.limits_.request_timeout, [this] { end_later(); });
    front_.close(*this);
  }

 private:
  Front& front_;
  Parser parser_;
  net::Loop::TimerId request_timer_{};
  bool begun_ = true;      // the first request is due from the start
  bool overdue_ = false;   // the rest of a request did not come in time
  bool rejected_ = false;  // the client broke the protocol
  std::optional<core::Millis> waited_since_, first_read_;

  void restart_timer(core::Millis span, std::function<void()> ring) {
    loop().cancel(request_timer_);
    request_timer_ = loop().at(loop().now() + span, std::move(ring));
  }
  // Half a request, or none, would hold a descriptor for good.
  void expect_whole() {
    restart_timer(front_.limits_.request_timeout, [this] { request_overdue(); });
  }
  // What is open still gets its answer, and until then the rest may still come.
  void request_overdue() {
    front_.counters_.add(asked ? core::Counter::resp_half_request : core::Counter::resp_no_request);
    if (open_calls.empty()) return close();
    overdue_ = true;
  }
  void backlog_discarded() override { front_.counters_.add(core::Counter::resp_unread_closed); }
  void received(std::string_view bytes) override {
    note_reading();
    std::vector<Words> commands;
    const bool sound = parser_.take(bytes, commands);
    if (!commands.empty() && !front_.activate(*this)) return front_.refuse_connection(*this, commands);
    // A timer a begun request: the next one's time starts with its own first byte.
    if (begun_ && (!commands.empty() || !parser_.begun())) {
      loop().cancel(request_timer_);
      overdue_ = false;
      keep_open();  // the rest has come in the very turn in which the last open call was answered
    }
    if (parser_.begun() && (!begun_ || !commands.empty())) expect_whole();
    begun_ = parser_.begun() || !asked;
    drop_cancelled_calls(commands);
    for (auto& words : commands) {
      if (rejected_ || ending()) return;  // what came behind a fault is not begun
      front_.take(*this, std::move(words));
    }
    if (sound) return;
    front_.counters_.add(core::Counter::resp_malformed);
    reject_input();
  }
  // What is read in a later turn than the first bytes did not wait for the connection to be accepted.
  void note_reading() {
    const core::Millis turn = loop().turn_began();
    if (!first_read_) first_read_ = turn;
    if (*first_read_ != turn) waited_since_.reset();
  }
  // Drops calls that are cancelled in the very bytes they came in: each would cost a worker something, and a
  // client may send hundreds at once.
  void drop_cancelled_calls(std::vector<Words>& commands) {
    std::unordered_set<std::string> cancelled;
    const auto cancelled_before_read = [&](const Words& words) {
      if (words.size() < 2) return false;
      if (words[0] == "CANCEL") cancelled.insert(words[1]);
      return words[0] == "CALL" && open_calls.count(words[1]) == 0 && cancelled.count(words[1]) != 0;
    };
    const auto kept = std::remove_if(commands.rbegin(), commands.rend(), cancelled_before_read);
    if (kept == commands.rend()) return;
    front_.counters_.add(core::Counter::resp_taken_back, static_cast<std::uint64_t>(commands.rend() - kept));
    commands.erase(commands.begin(), kept.base());
  }
  void ended() override {
    loop().cancel(request_timer_);
    front_.on_closed(*this);
  }
};

Front::Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
             Limits limits)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      counters_(counters),
      limits_(limits),
      listener_(loop, counters, *this) {}

bool Front::listen(const std::string& address) {
  listen_error_ = listener_.listen(address);
  return !listen_error_;
}

bool Front::written() const {
  const auto all_handed_over = [](const auto& c) { return c->outbox().empty(); };
  return std::all_of(clients_.begin(), clients_.end(), all_handed_over) &&
         std::all_of(closing_.begin(), closing_.end(), all_handed_over);
}

bool Front::reading() const {
  const auto begun = [](const auto& c) { return c->reading(); };
  return std::any_of(clients_.begin(), clients_.end(), begun) ||
         std::any_of(pending_.begin(), pending_.end(), begun);
}

void Front::close_connections() {
  std::vector<std::shared_ptr<Client>> left(clients_.begin(), clients_.end());
  left.insert(left.end(), pending_.begin(), pending_.end());
  for (const auto& client : left) client->reject_input();
}

// `client` is a reference of its own: it may be erased from its list at once.
void Front::evict(std::shared_ptr<Client> client, core::Counter why) {
  counters_.add(why);
  client->close();
  client->flush();
  client.reset();
}

// Connections that wait for their client's close keep no place from others, and few descriptors.
void Front::close(Client& client) {
  closing_.splice(closing_.end(), *client.list, client.place);
  client.list = &closing_;
  if (closing_.size() <= std::max<std::size_t>(limits_.closing, 1)) return;
  counters_.add(core::Counter::resp_linger_cut);
  const std::shared_ptr<Client> oldest = closing_.front();
  oldest->end_later();
  oldest->flush();
}

// A whole request has come: the connection takes a place among the clients, of the one longest unheard with
// no call open if need be. False if there is none.
bool Front::activate(Client& client) {
  clients_.splice(clients_.end(), *client.list, client.place);
  client.list = &clients_;
  client.asked = true;
  if (clients_.size() <= limits_.clients) return true;
  const auto self = std::prev(clients_.end());
  const auto idle = std::find_if(clients_.begin(), self, [](const auto& c) { return c->idle(); });
  if (idle != self) {
    evict(*idle, core::Counter::resp_idle_closed);
    return true;
  }
  return false;
}

// Nothing of it is sent on: its calls are refused, and the connection ends.
void Front::refuse_connection(Client& client, const std::vector<Words>& commands) {
  counters_.add(core::Counter::resp_no_place);
  for (const auto& words : commands) {
    if (words.size() < 2) continue;
    if (words[0] == "CALL") reply(client, words[1], {core::Verdict::refused, core::Millis(0), {}});
    if (words[0] == "CHECK") reply_health(client, words[1]);
  }
  client.reject_input();
}

// Connections that send no request are bounded, or they would use up the descriptors. The oldest is closed,
// unless its request has come by now.
void Front::limit_pending() {
  if (pending_.size() <= limits_.newcomers) return;
  const std::shared_ptr<Client> oldest = pending_.front();
  oldest->ready(POLLIN);
  if (!oldest->asked && !oldest->ending()) evict(oldest, core::Counter::resp_silent_closed);
}

void Front::on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) {
  pending_.push_back(std::make_shared<Client>(*this, std::move(socket)));
  Client& client = *pending_.back();
  client.place = std::prev(pending_.end());
  client.list = &pending_;
  if (waiting_since) client.waited_since(*waiting_since);
  limit_pending();
}

void Front::take(Client& client, Words&& words) {
  const auto decoded = decode_header(words);
  const auto* const header = std::get_if<RequestHeader>(&decoded);
  if (header == nullptr) {
    const auto error = std::get<RequestError>(decoded);
    counters_.add(counter_of(error));
    if (error == RequestError::bad_tag) return client.reject_input();
    return reply(client, words[1], {});
  }
  switch (header->kind) {
    case RequestKind::call: return call(client, header->tag, std::move(words));
    case RequestKind::cancel: return cancel(client, header->tag);
    case RequestKind::check: return reply_health(client, header->tag);
  }
}

void Front::cancel(Client& client, const std::string& tag) {
  counters_.add(core::Counter::resp_cancels);
  const auto found = client.open_calls.find(tag);
  if (found == client.open_calls.end()) return;  // its answer was sent before the request came
  const core::CallId id = found->second;
  remove_call(id);
  dispatcher_.leave(id);
}

void Front::call(Client& client, const std::string& tag, Words&& words) {
  if (client.open_calls.count(tag) != 0) {
    counters_.add(core::Counter::resp_tag_repeated);
    // An answer to one of the two calls could be taken for the other's, so none may say OK.
    fail_open_call(client, client.open_calls[tag]);
    return client.reject_input();
  }
  if (client.open_calls.size() >= limits_.calls_a_client) {
    return reject(client, tag, core::Counter::resp_too_many_open, core::Verdict::refused);
  }
  auto decoded = decode_call(words);
  if (const auto* const error = std::get_if<RequestError>(&decoded)) {
    return reject(client, tag, counter_of(*error));
  }
  auto& call = std::get<core::Call>(decoded);
  const std::size_t body_bytes = call.body.size();
  // Bounds memory: a client of any number of connections may hold only so much of it.
  if (bodies_ + body_bytes > limits_.body_bytes) {
    return reject(client, tag, core::Counter::resp_no_memory, core::Verdict::refused);
  }
  call.arrived = client.arrival_of_input();

  const core::CallId id = dispatcher_.next_id();
  by_call_[id] = {&client, tag, body_bytes};
  client.open_calls[tag] = id;
  bodies_ += body_bytes;
  if (!dispatcher_.take(id, std::move(call), *this)) {
    remove_call(id);
    reject(client, tag, core::Counter::resp_not_taken);
  }
}

// The faults of a connection are bounded: a client that repeats a rejected call at once would do so for ever.
void Front::reject(Client& client, const std::string& tag, core::Counter why, core::Verdict verdict) {
  counters_.add(why);
  reply(client, tag, {verdict, core::Millis(0), {}});
  if (++client.faults <= kMaxRejectedCalls) return;
  counters_.add(core::Counter::resp_faults_closed);
  client.reject_input();
}

void Front::reply(Client& client, const std::string& tag, const core::Answer& answer) {
  client.write(encode_answer(tag, answer));
  // Guards the pool against a client that does not read. What it has open adds a bounded number of answers.
  const std::size_t unread = client.outbox().appended() - client.outbox().written();
  if (unread <= kMaxUnreadBytes || client.discards_input()) return;
  counters_.add(core::Counter::resp_unread_closed);
  client.reject_input();
}

void Front::reply_health(Client& client, const std::string& tag) const {
  client.write(encode_health(tag, draining_));
}

// Gives the call up before its deadline.
void Front::fail_open_call(Client& client, core::CallId call) {
  const std::string tag = by_call_.at(call).tag;
  remove_call(call);
  dispatcher_.leave(call);
  reply(client, tag, {});
}

void Front::fail_open_calls(Client& client) {
  std::vector<core::CallId> open;
  for (const auto& [tag, id] : client.open_calls) open.push_back(id);
  std::sort(open.begin(), open.end());
  for (const auto id : open) fail_open_call(client, id);
  client.all_answered();
}

void Front::answer(core::CallId call, core::Answer&& answer) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;  // cancelled, or its client has gone
  const OpenCall open = found->second;
  remove_call(call);
  reply(*open.client, open.tag, answer);
  if (open.client->open_calls.empty()) open.client->all_answered();
}

void Front::remove_call(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  bodies_ -= found->second.body_bytes;
  found->second.client->open_calls.erase(found->second.tag);
  by_call_.erase(found);
}

void Front::on_closed(Client& client) {
  const std::shared_ptr<Client> kept = *client.place;
  client.list->erase(client.place);
  std::vector<core::CallId> left;
  for (const auto& [tag, id] : client.open_calls) left.push_back(id);
  std::sort(left.begin(), left.end());
  for (const auto id : left) remove_call(id);
  for (const auto id : left) dispatcher_.leave(id);
  loop_.defer_destruction(kept);
  listener_.resume();
}

}  // namespace pathstack::resp

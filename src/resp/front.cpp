#include "resp/front.h"

#include <memory>
#include <utility>
#include <variant>

#include "resp/reply.h"
#include "resp/request_decoder.h"

namespace pathstack::resp {
namespace {

core::Counter counter_of(RequestError error) {
  if (error == RequestError::bad_tag) return core::Counter::resp_no_tag;
  if (error == RequestError::unknown_verb) return core::Counter::resp_unknown_verb;
  if (error == RequestError::wrong_word_count) return core::Counter::resp_bad_call;
  return core::Counter::resp_bad_fields;
}

std::string encode_verdict(const std::string& tag, core::CallStatus status) {
  return encode_answer(tag, {status, core::Millis(0), {}});
}

}  // namespace

Front::Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
             const Limits& limits)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      counters_(counters),
      limits_(limits),
      listener_(loop, counters, *this),
      connections_(counters, limits_) {}

bool Front::listen(const std::string& address) {
  listen_error_ = listener_.listen(address);
  return !listen_error_;
}

void Front::answer(core::CallId id, core::Answer&& answer) {
  const auto call = calls_.remove(id);
  if (!call) return;  // cancelled, or its client has closed
  Connection& connection = *call->connection;
  connection.reply(encode_answer(call->tag, answer));
  if (connection.open_calls() == 0) connection.on_all_answered();
}

void Front::on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) {
  ConnectionObserver& observer = *this;  // a private base, which make_shared could not convert to
  auto connection =
      std::make_shared<Connection>(loop_, pool_, counters_, limits_, observer, std::move(socket));
  if (waiting_since) connection->set_waiting_since(*waiting_since);
  connections_.add_pending(std::move(connection));
}

bool Front::on_requests_read(Connection& connection) { return connections_.activate(connection); }

// Nothing of it is forwarded: its calls are refused, and the connection ends.
void Front::on_refused(Connection& connection, const std::vector<Words>& requests) {
  counters_.add(core::Counter::resp_no_place);
  for (const auto& words : requests) {
    if (words.size() < 2) continue;
    const std::string& tag = words[1];
    if (words[0] == "CALL") connection.reply(encode_verdict(tag, core::CallStatus::refused));
    if (words[0] == "CHECK") reply_health(connection, tag);
  }
  connection.reject_input();
}

void Front::on_request(Connection& connection, Words&& words) {
  const auto decoded = decode_header(words);
  if (const auto* const error = std::get_if<RequestError>(&decoded)) {
    counters_.add(counter_of(*error));
    if (*error == RequestError::bad_tag) return connection.reject_input();
    return connection.reply(encode_verdict(words[1], core::CallStatus::failed));
  }
  const auto& header = std::get<RequestHeader>(decoded);
  switch (header.kind) {
    case RequestKind::call: return begin_call(connection, header.tag, std::move(words));
    case RequestKind::cancel: return cancel_call(connection, header.tag);
    case RequestKind::check: return reply_health(connection, header.tag);
  }
}

void Front::on_answers_overdue(Connection& connection) {
  for (const auto id : connection.open_call_ids()) fail_open_call(id);
  connection.on_all_answered();
}

void Front::on_closing(Connection& connection) { connections_.begin_closing(connection); }

void Front::on_closed(Connection& connection) {
  std::shared_ptr<Connection> removed = connections_.remove(connection);
  const std::vector<core::CallId> open = connection.open_call_ids();
  for (const auto id : open) calls_.remove(id);
  for (const auto id : open) dispatcher_.abandon(id);
  loop_.defer_destruction(std::move(removed));
  listener_.resume();
}

void Front::begin_call(Connection& connection, const std::string& tag, Words&& words) {
  if (const auto open = connection.find_call(tag)) {
    counters_.add(core::Counter::resp_tag_repeated);
    // An answer to one of the two calls could be taken for the other's, so none may say OK.
    fail_open_call(*open);
    return connection.reject_input();
  }
  if (connection.open_calls() >= limits_.calls_a_client) {
    return reject_call(connection, tag, core::Counter::resp_too_many_open, core::CallStatus::refused);
  }
  auto decoded = decode_call(words);
  if (const auto* const error = std::get_if<RequestError>(&decoded)) {
    return reject_call(connection, tag, counter_of(*error));
  }
  auto& call = std::get<core::Call>(decoded);
  const std::size_t body_bytes = call.body.size();
  // Bounds memory: a client of any number of connections may hold only so much of it.
  if (calls_.body_bytes() + body_bytes > limits_.body_bytes) {
    return reject_call(connection, tag, core::Counter::resp_no_memory, core::CallStatus::refused);
  }
  call.arrived = connection.arrival_of_input();

  const core::CallId id = dispatcher_.next_id();
  calls_.add(id, {&connection, tag, body_bytes});
  if (dispatcher_.take(id, std::move(call), *this)) return;
  calls_.remove(id);
  reject_call(connection, tag, core::Counter::resp_not_taken);
}

void Front::cancel_call(const Connection& connection, const std::string& tag) {
  counters_.add(core::Counter::resp_cancels);
  const auto id = connection.find_call(tag);
  if (!id) return;  // its answer was sent before the request came
  calls_.remove(*id);
  dispatcher_.abandon(*id);
}

void Front::reject_call(Connection& connection, const std::string& tag, core::Counter reason,
                        core::CallStatus status) {
  counters_.add(reason);
  connection.reply(encode_verdict(tag, status));
  connection.note_rejected_call();
}

void Front::reply_health(Connection& connection, const std::string& tag) const {
  connection.write(encode_health(tag, draining_));
}

// Gives the call up before its deadline.
void Front::fail_open_call(core::CallId id) {
  const auto call = calls_.remove(id);
  if (!call) return;
  dispatcher_.abandon(id);
  call->connection->reply(encode_verdict(call->tag, core::CallStatus::failed));
}

}  // namespace pathstack::resp

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

// Estimated memory of a connection without its open calls and large words, in bytes.
constexpr std::size_t kConnectionBytes = 2048;

std::string encode_status(const std::string& tag, core::CallStatus status) {
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
      connections_([&loop] { return loop.turn_began(); }, counters, limits_) {}

void Front::set_memory_budget(core::MemoryBudget& budget) {
  memory_ = &budget;
  budget.track(core::MemoryOwner::calls, [this] { return calls_.bytes(); });
  // All connections count from the start, so that new ones do not take what was free for open ones.
  const std::size_t connections = limits_.max_active + limits_.max_pending + limits_.max_closing;
  budget.track(core::MemoryOwner::clients,
               [this, connections] { return connections * kConnectionBytes + buffered_bytes_; });
}

bool Front::listen(const std::string& address) {
  listen_error_ = listener_.listen(address);
  return !listen_error_;
}

void Front::answer(core::CallId id, core::Answer&& answer) {
  const auto call = calls_.remove(id);
  if (!call) return;  // cancelled, or its client closed the connection
  Connection& connection = *call->connection;
  connection.reply(call->tag, encode_answer(call->tag, answer));
  if (connection.open_calls() == 0) connection.on_all_answered();
}

void Front::on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) {
  ConnectionObserver& observer = *this;  // private base; make_shared could not convert
  auto connection =
      std::make_shared<Connection>(loop_, pool_, counters_, limits_, observer, std::move(socket));
  if (waiting_since) connection->set_waiting_since(*waiting_since);
  connections_.add_pending(std::move(connection));
}

bool Front::on_requests_read(Connection& connection) { return connections_.activate(connection); }

// Nothing is passed to the dispatcher.
void Front::on_refused_request(Connection& connection, const Message& request) {
  const auto decoded = decode_header(request.words);
  const auto* const header = std::get_if<RequestHeader>(&decoded);
  if (header == nullptr) return;
  switch (header->kind) {
    case RequestKind::call:
      return connection.reply(header->tag, encode_status(header->tag, core::CallStatus::refused));
    case RequestKind::cancel: return;  // no call is open
    case RequestKind::check: return reply_health(connection, header->tag);
  }
}

void Front::on_request(Connection& connection, Message&& request) {
  const Words& words = request.words;
  const auto decoded = decode_header(words);
  if (const auto* const error = std::get_if<RequestError>(&decoded)) {
    counters_.add(counter_of(*error));
    if (*error == RequestError::bad_tag) return connection.reject_input();
    return connection.reply(words[1], encode_status(words[1], core::CallStatus::failed));
  }
  const auto& header = std::get<RequestHeader>(decoded);
  switch (header.kind) {
    case RequestKind::call: return begin_call(connection, header.tag, std::move(request));
    case RequestKind::cancel: return cancel_call(connection, header.tag);
    case RequestKind::check: return reply_health(connection, header.tag);
  }
}

bool Front::may_buffer(const Connection& connection, std::size_t bytes) {
  return memory_ == nullptr || memory_->admits_work(connection.held_bytes(), bytes);
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

void Front::begin_call(Connection& connection, const std::string& tag, Message&& request) {
  if (const auto open = connection.find_call(tag)) {
    counters_.add(core::Counter::resp_tag_repeated);
    // The client could take the answer to one of the two calls for the answer to the other, so neither may be
    // answered with OK.
    fail_open_call(*open);
    return connection.reject_input();
  }
  if (connection.open_calls() >= limits_.max_calls_per_connection) {
    return reject_call(connection, tag, core::Counter::resp_too_many_open, core::CallStatus::refused);
  }
  if (request.memory_refused) return refuse_for_memory(connection, tag);
  auto decoded = decode_call(request.words);
  if (const auto* const error = std::get_if<RequestError>(&decoded)) {
    return reject_call(connection, tag, counter_of(*error));
  }
  auto& call = std::get<core::Call>(decoded);
  const std::size_t bytes = core::Dispatcher::bytes_of(call);
  const std::size_t shared = dispatcher_.function_bytes_to_add(call);
  if (memory_ != nullptr && !memory_->admits_work(connection.held_bytes(), bytes, shared)) {
    return refuse_for_memory(connection, tag);
  }
  call.arrived = connection.arrival_of_input();

  const core::CallId id = dispatcher_.next_id();
  calls_.add(id, {&connection, tag, bytes});
  if (dispatcher_.take(id, std::move(call), *this)) return;
  calls_.remove(id);
  reject_call(connection, tag, core::Counter::resp_not_taken);
}

void Front::cancel_call(Connection& connection, const std::string& tag) {
  counters_.add(core::Counter::resp_cancels);
  const auto id = connection.find_call(tag);
  if (!id) return connection.cancelled_after_answer(tag);
  calls_.remove(*id);
  dispatcher_.abandon(*id);
  if (connection.open_calls() == 0) connection.on_all_answered();
}

// Lack of memory is no fault of the client, so its connection goes on, however often that happens. But a
// client that sends without waiting for answers is rejected as usual, or it could cause any amount of work.
void Front::refuse_for_memory(Connection& connection, const std::string& tag) {
  if (connection.unanswered_calls() >= limits_.max_calls_per_connection) {
    return reject_call(connection, tag, core::Counter::resp_too_many_open, core::CallStatus::refused);
  }
  counters_.add(core::Counter::resp_no_memory);
  connection.reply(tag, encode_status(tag, core::CallStatus::refused));
  connection.pace_refusals();
}

// Rejects a call that no client within the protocol sends.
void Front::reject_call(Connection& connection, const std::string& tag, core::Counter reason,
                        core::CallStatus status) {
  counters_.add(reason);
  connection.reply(tag, encode_status(tag, status));
  connection.count_rejected_call();
}

void Front::reply_health(Connection& connection, const std::string& tag) const {
  connection.write(encode_health(tag, draining_));
}

// Abandons the call and answers FAILED before its deadline.
void Front::fail_open_call(core::CallId id) {
  const auto call = calls_.remove(id);
  if (!call) return;
  dispatcher_.abandon(id);
  call->connection->reply(call->tag, encode_status(call->tag, core::CallStatus::failed));
}

}  // namespace pathstack::resp

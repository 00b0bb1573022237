/// The connection of one client.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/types.h"
#include "net/loop.h"
#include "net/stream.h"
#include "resp/limits.h"
#include "resp/parser.h"
#include "resp/refusal_pacer.h"
#include "resp/unwritten_answers.h"

namespace pathstack::resp {

class Connection;
using ConnectionList = std::list<std::shared_ptr<Connection>>;

/// Receives the requests and the end of a `Connection`. All methods are called on the thread of the event
/// loop.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// Called when complete requests were read. Returns false if there is no capacity for the connection.
  virtual bool on_requests_read(Connection& connection) = 0;
  /// Called for each request of a connection for which there is no capacity, in the order in which they were
  /// received. The connection ends once it has no more input.
  virtual void on_refused_request(Connection& connection, const Message& request) = 0;
  /// Called for each request, in the order in which they were received.
  virtual void on_request(Connection& connection, Message&& request) = 0;
  /// Returns true if the connection may buffer `bytes` more of a request.
  virtual bool may_buffer(const Connection& connection, std::size_t bytes) = 0;
  /// Called when the memory of requests received in part has changed by `change` bytes.
  virtual void on_buffered_changed(std::ptrdiff_t change) = 0;
  /// Called if calls are still open `Limits::rejected_timeout` after the input of the connection was
  /// rejected.
  virtual void on_answers_overdue(Connection& connection) = 0;
  /// Called when the connection begins to close: it writes the queued bytes, then waits for the client to
  /// close.
  virtual void on_closing(Connection& connection) = 0;
  /// Called when the socket is closed. The observer must keep the connection alive until the end of the turn.
  virtual void on_closed(Connection& connection) = 0;
};

/// Owns the socket of a client, the parser, the request timer and the tags of open calls.
///
/// Every call that was read gets its final answer before the connection ends, unless the client closes first.
/// Time limits keep clients that send partial requests, or do not read, from holding a descriptor. Used by
/// the front on the thread of the event loop.
class Connection final : public net::Stream {
 public:
  /// All references must outlive the connection.
  Connection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
             ConnectionObserver& observer, net::Socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// True if closing the connection loses no request, except one that arrives while it is being closed. Cost:
  /// one poll(2) at most.
  bool is_idle() const;
  /// True if a request has been received in part.
  bool has_partial_request() const { return parser_.has_partial_message(); }
  /// True once the client has sent a complete request.
  bool has_sent_request() const { return has_sent_request_; }

  /// Sets the time since when the first input may have been waiting, as connections could not be accepted.
  void set_waiting_since(core::Millis time) { waiting_since_ = time; }
  /// The time from which the timeouts of calls in the input being processed run: since when the input may
  /// have been waiting, or else the start of the turn. Time that the turn spent on earlier input counts, too.
  core::Millis arrival_of_input() const { return waiting_since_.value_or(loop().turn_began()); }

  /// Registers the tag of an open call, which must not be registered. `bytes`: the memory that the call
  /// holds.
  void add_call(const std::string& tag, core::CallId call, std::size_t bytes) {
    open_calls_[tag] = call;
    call_bytes_ += bytes;
  }
  void remove_call(const std::string& tag, std::size_t bytes) {
    open_calls_.erase(tag);
    call_bytes_ -= bytes;
  }
  /// The memory that the open calls of the client and its request received in part hold, in bytes.
  std::size_t held_bytes() const { return call_bytes_ + parser_.buffered_bytes(); }
  /// The open call with the tag. Empty if there is none.
  std::optional<core::CallId> find_call(const std::string& tag) const;
  std::size_t open_calls() const { return open_calls_.size(); }
  /// The calls that are open to the client: those without an answer, and those whose answer is not written to
  /// the socket yet. Linear in the latter.
  std::size_t unanswered_calls();
  /// The ids of open calls in the order in which the calls were received. Sorts, so O(n log n).
  std::vector<core::CallId> open_call_ids() const;
  /// Called when the last open call was answered or cancelled. Closes the connection if the close was waiting
  /// for that.
  void on_all_answered();

  /// Queues the final answer to the call with the tag, to be written at the end of the turn. Rejects the
  /// input of a client with too many unread bytes.
  void reply(const std::string& tag, std::string_view bytes);
  /// Called when the client has cancelled a call that is not open. If the answer is not written yet, the call
  /// no longer counts in `unanswered_calls`.
  void cancelled_after_answer(const std::string& tag) { unwritten_answers_.remove_cancelled(tag); }
  /// Called when a call was refused through no fault of the client. Beyond a rate, the input of the
  /// connection waits in the kernel for a moment.
  void pace_refusals();
  /// Counts a call that was rejected through a fault of the client, and rejects further input beyond a limit.
  /// Without the limit, a client that retries a rejected call immediately would do so forever.
  void count_rejected_call();
  /// Ignores all further requests but cancels, and closes the connection once open calls have their final
  /// answers. Used after protocol errors, for clients that exceed limits, and at shutdown.
  void reject_input();
  /// Ends the connection gracefully once all queued bytes are written.
  void close();

 private:
  friend class ConnectionTable;
  core::Counters& counters_;
  const Limits& limits_;
  ConnectionObserver& observer_;
  Parser parser_;
  std::unordered_map<std::string, core::CallId> open_calls_;  // by tag
  std::size_t call_bytes_ = 0;                                // held by the open calls
  UnwrittenAnswers unwritten_answers_;
  RefusalPacer refusal_pacer_;
  std::size_t reported_buffered_bytes_ = 0;  // as last passed to the observer
  net::Loop::TimerId request_timer_{};
  bool awaits_request_ = true;     // no request yet, or the current one is incomplete
  bool request_overdue_ = false;   // the current request was not complete in time
  bool refused_ = false;           // there is no capacity for the connection, which ends
  bool closing_reported_ = false;  // `on_closing` was called
  bool rejected_ = false;          // further requests but cancels are ignored
  bool has_sent_request_ = false;  // at least one complete request
  std::size_t rejected_calls_ = 0;
  std::size_t refused_requests_ = 0;
  std::optional<core::Millis> waiting_since_;
  std::optional<core::Millis> first_read_;  // start of the turn of the first read
  // Set by `ConnectionTable`: the list that contains the connection, and the position in it.
  ConnectionList* list_ = nullptr;
  ConnectionList::iterator position_;

  void restart_timer(core::Millis delay, std::function<void()> callback);
  void restart_request_timer();
  void update_request_timer(bool request_complete);
  void on_request_overdue();
  void update_arrival_time();
  void process(std::vector<Message>&& requests);
  void begin_refusal();
  void refuse(const std::vector<Message>& requests, bool well_formed);
  void report_closing();
  bool may_shut_down() override;
  void report_buffered_bytes(std::size_t bytes);
  void backlog_discarded() override;
  void received(std::string_view bytes) override;
  void ended() override;
};

}  // namespace pathstack::resp

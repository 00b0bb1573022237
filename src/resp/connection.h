// One client's connection.
#pragma once

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

namespace pathstack::resp {

class Connection;
using ConnectionList = std::list<std::shared_ptr<Connection>>;

/// Gets the requests and the end of a `Connection`. All methods run on the loop's thread.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// Complete requests were read. False if there is no capacity for the connection: `on_refused` follows.
  virtual bool on_requests_read(Connection& connection) = 0;
  /// Nothing of `requests` may be begun; the observer answers them and ends the connection.
  virtual void on_refused(Connection& connection, const std::vector<Words>& requests) = 0;
  virtual void on_request(Connection& connection, Words&& words) = 0;
  /// Calls are still open `Limits::rejected_timeout` after the client broke the protocol.
  virtual void on_answers_overdue(Connection& connection) = 0;
  /// The connection was sent, or will be, all that it is owed, and waits for the client's close.
  virtual void on_closing(Connection& connection) = 0;
  /// The socket is closed. The observer keeps the object alive to the end of the turn.
  virtual void on_closed(Connection& connection) = 0;
};

/// Owns a client's socket, its parser, the timer of its request and the tags of its open calls.
///
/// What must hold: every call that was read gets its final answer before the connection ends, unless the
/// client closes first; and no client keeps a descriptor by sending half a request, or by not reading. Used
/// by the front on the loop's thread. Cost: the bytes read and written.
class Connection final : public net::Stream {
 public:
  /// All references have to outlive the connection.
  Connection(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, const Limits& limits,
             ConnectionObserver& observer, net::Socket socket);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// True if closing it loses no request, but for one that crosses the close. Cost: one poll(2).
  bool is_idle() const;
  /// A request has come in part.
  bool has_partial_request() const { return parser_.has_partial_message(); }
  bool has_sent_request() const { return has_sent_request_; }

  /// Its first bytes may have come at any time since then, while connections could not be accepted.
  void set_waiting_since(core::Millis time) { waiting_since_ = time; }
  /// When what is read now had come at the earliest. Time spent on what was read before counts, too.
  core::Millis arrival_of_input() const { return waiting_since_.value_or(loop().turn_began()); }

  void add_call(const std::string& tag, core::CallId call) { open_calls_[tag] = call; }
  void remove_call(const std::string& tag) { open_calls_.erase(tag); }
  std::optional<core::CallId> find_call(const std::string& tag) const;
  std::size_t open_calls() const { return open_calls_.size(); }
  /// In the order in which they came. Cost: a sort of the open calls.
  std::vector<core::CallId> open_call_ids() const;
  /// The last open call was answered: closes a connection that had to wait for it.
  void on_all_answered();

  /// Writes a reply at the end of the turn. A client that leaves too much unread has its input rejected.
  void reply(std::string_view bytes);
  /// Counts a rejected call. The number is bounded: a client that repeats it at once would do so for ever.
  void count_rejected_call();
  /// The client broke the protocol: nothing more is taken from it, and the connection ends once the open
  /// calls have their final answers.
  void reject_input();
  /// Ends the connection once all is written, in order.
  void close();

 private:
  friend class ConnectionTable;
  core::Counters& counters_;
  const Limits& limits_;
  ConnectionObserver& observer_;
  Parser parser_;
  std::unordered_map<std::string, core::CallId> open_calls_;  // by tag
  net::Loop::TimerId request_timer_{};
  bool awaits_request_ = true;     // in part or, at first, whole: the timer runs
  bool request_overdue_ = false;   // the rest of a request did not come in time
  bool rejected_ = false;          // the client broke the protocol
  bool has_sent_request_ = false;  // a complete one
  std::size_t rejected_calls_ = 0;
  std::optional<core::Millis> waiting_since_, first_read_;
  // The table's list in which the connection stands, and where.
  ConnectionList* list_ = nullptr;
  ConnectionList::iterator position_;

  void restart_timer(core::Millis delay, std::function<void()> callback);
  void restart_request_timer();
  void update_request_timer(bool request_complete);
  void on_request_overdue();
  void update_arrival_time();
  void backlog_discarded() override;
  void received(std::string_view bytes) override;
  void ended() override;
};

}  // namespace pathstack::resp

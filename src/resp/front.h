// The platform's front: clients that CALL, CANCEL and CHECK over RESP.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>

#include "core/counters.h"
#include "core/dispatcher.h"
#include "net/loop.h"
#include "net/socket.h"
#include "net/stream.h"
#include "resp/listener.h"
#include "resp/parser.h"

namespace pathstack::resp {

class Front final : public core::Front, private ListenerObserver {
 public:
  struct Limits {
    std::size_t clients = 256, newcomers = 64;  // connections that have asked something, and not yet
    // Connections beyond these that were sent all that they are owed and wait for the client's close.
    std::size_t closing = 16;
    std::size_t calls_a_client = 32;
    std::size_t body_bytes = 48U << 20;  // of all open calls
    // From connecting, or a request's first byte, to its last.
    core::Millis request_timeout{2000};
    // From a breach of the protocol to the final answer of the calls that were open by then.
    core::Millis rejected_timeout{2000};
  };
  Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
        Limits limits);

  /// False if it failed, by `listen_error`; may be called again then.
  bool listen(const std::string& address);
  const std::error_code& listen_error() const { return listen_error_; }
  std::string address() const { return listener_.address(); }
  void drain() { draining_ = true; }  // CHECK says DOWN from now on; calls are still taken
  /// As `Listener::stop`.
  bool stop_listening() { return listener_.stop(); }
  std::size_t open_calls() const { return by_call_.size(); }
  bool written() const;  // nothing waits to be written
  bool reading() const;  // a request has come in part
  /// Begins to end all connections: each is sent what waits to be written, and nothing more is read from it.
  void close_connections();
  bool closed() const { return clients_.empty() && pending_.empty() && closing_.empty(); }

  void answer(core::CallId call, core::Answer&& answer) override;

 private:
  class Client;
  struct OpenCall {
    Client* client;
    std::string tag;
    std::size_t body_bytes;
  };
  net::Loop& loop_;
  net::BufferPool& pool_;
  core::Dispatcher& dispatcher_;
  core::Counters& counters_;
  Limits limits_;
  Listener listener_;
  std::error_code listen_error_;
  using Clients = std::list<std::shared_ptr<Client>>;
  Clients clients_, pending_;  // the one longest unheard first
  Clients closing_;            // the one closing for longest first
  std::unordered_map<core::CallId, OpenCall> by_call_;
  std::size_t bodies_ = 0;
  bool draining_ = false;

  void on_accepted(net::Socket socket, std::optional<core::Millis> waiting_since) override;
  bool activate(Client& client);
  void close(Client& client);
  void refuse_connection(Client& client, const std::vector<Words>& commands);
  void limit_pending();
  void evict(std::shared_ptr<Client> client, core::Counter why);
  void take(Client& client, Words&& words);
  void call(Client& client, const std::string& tag, Words&& words);
  void cancel(Client& client, const std::string& tag);
  void reject(Client& client, const std::string& tag, core::Counter why,
              core::Verdict verdict = core::Verdict::failed);
  void reply(Client& client, const std::string& tag, const core::Answer& answer);
  void reply_health(Client& client, const std::string& tag) const;
  void fail_open_call(Client& client, core::CallId call);
  void fail_open_calls(Client& client);
  void remove_call(core::CallId call);
  void on_closed(Client& client);
};

}  // namespace pathstack::resp

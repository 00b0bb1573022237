/// The types of the core: calls, attempts and outcomes, and the interfaces that fronts and hosts implement.
/// Independent of any wire protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "pathstack/policy.h"

namespace pathstack::core {

using pathstack::policy::ListKind;
using pathstack::policy::Millis;
using pathstack::policy::Outcome;
using pathstack::policy::Report;
using pathstack::policy::Settings;
using pathstack::policy::WorkerEntry;
using pathstack::policy::WorkerState;

/// Identifies a call within one invoker; unique for the lifetime of the process.
using CallId = std::uint64_t;

/// A call as a client made it.
struct Call {
  std::string ref;  // reference chosen by the client; passed on unchanged
  std::string class_name, tenant;
  std::string function_name;    // as the client wrote it
  std::uint64_t function = 0;   // the function as a number, for the module
  std::string idempotency_key;  // for classes whose repeats hosts recognize; passed on unchanged; empty: none
  std::optional<double> cost_hint;  // the client's estimate of the cost
  bool retry = false;               // the client has made this call before
  double memory_mb = 0;             // of an instance of the function
  int concurrency = 1;              // concurrency slots of an instance
  Millis arrived{0};                // monotonic time
  Millis client_timeout{0};         // how long the client waits, from `arrived`
  std::string body;
};

/// How a call ended, as reported to its client. Only `refused` guarantees that nothing ran.
enum class CallStatus { served, refused, failed };

/// The final answer to a call.
struct Answer {
  CallStatus status = CallStatus::failed;
  Millis retry_after{0};  // when to retry; 0: not stated
  std::string body;       // of a served call
};

/// Identifies one attempt of a call. Attempts are numbered from 0 in the order in which the module sent them.
struct Attempt {
  CallId call = 0;
  int number = 0;
  bool operator<(const Attempt& o) const { return std::tie(call, number) < std::tie(o.call, o.number); }
  bool operator==(const Attempt& o) const { return call == o.call && number == o.number; }
};

/// The end of an attempt that was not cancelled.
struct AttemptEnd {
  Outcome outcome = Outcome::error;
  int concurrent_calls = 0;  // calls of the same function that the host held
  Report report;
  std::string body;
};

/// Receives calls from clients and delivers the answers to them.
class Front {
 public:
  Front() = default;
  virtual ~Front() = default;
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Delivers the final answer to a call that the dispatcher has accepted. Called once per call, possibly
  /// before `Dispatcher::take` returns; not called for a call that its client has abandoned.
  virtual void answer(CallId call, Answer&& answer) = 0;
};

/// Sends attempts, probes and load orders to hosts. Their results are reported to the dispatcher later, never
/// from inside these calls.
class Hosts {
 public:
  Hosts() = default;
  virtual ~Hosts() = default;
  Hosts(const Hosts&) = delete;
  Hosts& operator=(const Hosts&) = delete;

  /// Sends an attempt of `call`; `timeout` is the time left for the attempt.
  virtual void send_attempt(const Attempt& attempt, const std::string& host, const Call& call,
                            Millis timeout) = 0;
  /// Cancels the attempt; true if it may have run. No result is reported for it afterwards.
  virtual bool cancel(const Attempt& attempt) = 0;
  /// Asks `host` for a load report.
  virtual void probe(const std::string& host) = 0;
  /// Orders `host` to have `instances` instances of `function` loaded.
  virtual void order_load(const std::string& host, std::uint64_t function, int instances) = 0;
  /// Allows `host` to unload `function`. No result is reported.
  virtual void unload(const std::string& host, std::uint64_t function) = 0;
};

}  // namespace pathstack::core

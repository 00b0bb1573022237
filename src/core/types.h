/// What the core deals in: calls, attempts and outcomes. Nothing here knows a wire.
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

/// Names a call within one invoker; unique for the life of the process.
using CallId = std::uint64_t;

/// A call as a client made it.
struct Call {
  std::string ref;  // as the client named it; passed on unchanged
  std::string class_name, tenant;
  std::string function_name;    // as the client wrote it
  std::uint64_t function = 0;   // the same as a number, for the module
  std::string idempotency_key;  // of a class whose repeats hosts recognize; passed on unchanged, empty: none
  std::optional<double> cost_hint;  // the client's hint of the cost
  bool retry = false;               // the client made this call before
  double memory_mb = 0;             // of an instance of the function
  int concurrency = 1;              // concurrency slots of an instance
  Millis arrived{0};                // monotonic
  Millis client_timeout{0};         // how long the client waits, from `arrived`
  std::string body;
};

/// How a call ended, as its client learns it. Only `refused` says that nothing ran.
enum class CallStatus { served, refused, failed };

/// The final answer to a call.
struct Answer {
  CallStatus status = CallStatus::failed;
  Millis retry_after{0};  // when to retry; 0: not said
  std::string body;       // of a served call
};

/// One attempt of one call; numbered from 0 in the order in which they went out.
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

/// Where calls come from.
class Front {
 public:
  Front() = default;
  virtual ~Front() = default;
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// The final answer to a call that the dispatcher has taken; once, and possibly while `Dispatcher::take`
  /// still runs. Not called for a call that was left.
  virtual void answer(CallId call, Answer&& answer) = 0;
};

/// Where attempts, probes and load orders go. Ends are reported to the dispatcher, never from inside these
/// calls.
class Hosts {
 public:
  Hosts() = default;
  virtual ~Hosts() = default;
  Hosts(const Hosts&) = delete;
  Hosts& operator=(const Hosts&) = delete;

  /// Sends an attempt of `call`; `timeout` is the time that is left for it.
  virtual void send_attempt(const Attempt& attempt, const std::string& host, const Call& call,
                            Millis timeout) = 0;
  /// Ends the attempt; true if it may have run. No end is reported for it afterwards.
  virtual bool cancel(const Attempt& attempt) = 0;
  /// Asks for a load report.
  virtual void probe(const std::string& host) = 0;
  /// Orders that `instances` instances of `function` are loaded.
  virtual void order_load(const std::string& host, std::uint64_t function, int instances) = 0;
  /// Lets a host unload `function`. No end is reported.
  virtual void unload(const std::string& host, std::uint64_t function) = 0;
};

}  // namespace pathstack::core

/// The words of the hosts' line protocol: requests are encoded here, answers decoded into typed outcomes.
/// Knows neither connections nor time. WIRE-pathstack.md is the source of every form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "hosts/line_parser.h"

namespace pathstack::hosts {

using core::Millis;

/// What an `exec` request carries, apart from its time-out.
struct ExecRequest {
  std::string ref;     // the client's, unchanged
  std::string fields;  // class, function and idempotency key, encoded
  std::string body;
};

/// The part of `call` that goes to a host. Cost: a copy of the body.
ExecRequest exec_request_of(const core::Call& call);

// Each of these returns a complete request with its line ends. Cost: linear in its length.

/// Runs a call. `timeout` is rounded down to whole milliseconds and must be at least 1 ms.
std::string encode_exec(const ExecRequest& request, Millis timeout);
/// Gives up the attempt under `ref`. Has no answer.
std::string encode_cancel(const std::string& ref);
/// Orders that a host has `instances` instances of `function` loaded.
std::string encode_load_order(const std::string& tag, std::uint64_t function, int instances);
/// Lets a host unload `function`. Has no answer.
std::string encode_release(std::uint64_t function);
/// Asks for a load report.
std::string encode_probe(const std::string& tag);
/// Asks whether the host runs. It answers beside its queue.
std::string encode_health_check(const std::string& tag);

/// An answer of a host, decoded.
struct Answer {
  std::string id;  // the ref of an attempt, or the tag of another request
  core::Outcome outcome = core::Outcome::error;
  bool probe_only = false;          // its word belongs to probes and health checks alone
  int concurrent_calls = 0;         // calls of the same function that the host holds
  int instances = 0;                // of the function that a load order named
  core::Report report;              // nothing unless complete
  std::optional<std::string> body;  // absent: no length was given

  /// False if it can't be the answer to an attempt. One that lost its end would be served as an empty body,
  /// which no host has given.
  bool fits_attempt() const { return !probe_only && (outcome != core::Outcome::ok || body.has_value()); }
};

/// Decodes answers. Holds no state of a connection; every call is independent.
class AnswerDecoder {
 public:
  /// `report_fields` are the names of a load report's values in the order in which the module wants them.
  explicit AnswerDecoder(std::vector<std::string> report_fields) : report_fields_(std::move(report_fields)) {}

  /// Nothing if the fields don't parse, the id has other characters than digits and lower-case letters, or
  /// the word is unknown. Cost: linear in the length of the fields; the body is moved.
  std::optional<Answer> decode(Reply&& reply) const;

 private:
  std::vector<std::string> report_fields_;

  core::Report read_report(const std::string& text) const;
};

}  // namespace pathstack::hosts

/// Codec of the hosts' line protocol, as WIRE-pathstack.md specifies it: encodes requests and decodes answers
/// into typed outcomes. Stateless; uses neither connections nor clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "hosts/line_parser.h"

namespace pathstack::hosts {

using core::Millis;

/// The contents of an `exec` request, except for its time-out.
struct ExecRequest {
  std::string ref;     // as the client sent it
  std::string fields;  // class, function and idempotency key, encoded
  std::string body;
};

/// Extracts the part of `call` that is sent to a host. Cost: a copy of the body.
ExecRequest exec_request_of(const core::Call& call);

// Each of the functions below returns a complete request with its line ends. Cost: linear in its length.

/// Requests the execution of a call. `timeout` is rounded down to whole milliseconds and must be at least 1
/// ms.
std::string encode_exec(const ExecRequest& request, Millis timeout);
/// Cancels the attempt under `ref`. Has no answer.
std::string encode_cancel(const std::string& ref);
/// Orders a host to have `instances` instances of `function` loaded.
std::string encode_load_order(const std::string& tag, std::uint64_t function, int instances);
/// Allows a host to unload `function`. Has no answer.
std::string encode_release(std::uint64_t function);
/// Requests a load report.
std::string encode_probe(const std::string& tag);
/// Checks whether the host process runs. The host answers without queueing the request.
std::string encode_health_check(const std::string& tag);

/// A decoded answer of a host.
struct Answer {
  std::string id;  // the ref of an attempt, or the tag of another request
  core::Outcome outcome = core::Outcome::error;
  bool probe_only = false;          // its word is valid for probes and health checks only
  int concurrent_calls = 0;         // calls of this function at the host
  int instances = 0;                // of the function of a load order
  core::Report report;              // absent unless complete
  std::optional<std::string> body;  // absent if the answer states no length

  /// True if this can be the answer to an attempt. An `ok` without a body cannot: it lost its end, and would
  /// be served as an empty body that no host sent.
  bool fits_attempt() const { return !probe_only && (outcome != core::Outcome::ok || body.has_value()); }
};

/// Decodes answers. Keeps no state between calls.
class AnswerDecoder {
 public:
  /// `report_fields` names the values of a load report in the order that the decision module expects.
  explicit AnswerDecoder(std::vector<std::string> report_fields) : report_fields_(std::move(report_fields)) {}

  /// Returns nothing if the fields are malformed, the id has characters other than digits and lower-case
  /// letters, or the word is unknown. Cost: linear in the length of the fields; the body is moved.
  std::optional<Answer> decode(Reply&& reply) const;

 private:
  std::vector<std::string> report_fields_;

  core::Report read_report(const std::string& text) const;
};

}  // namespace pathstack::hosts

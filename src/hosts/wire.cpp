#include "hosts/wire.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "net/fields.h"

namespace pathstack::hosts {
namespace {

using core::Outcome;
using net::field;

constexpr std::uint64_t kMaxConcurrentCalls = 30;  // greater values carry no further information
constexpr std::uint64_t kMaxInstances = 1000;
constexpr std::uint64_t kMaxParsedCalls = 1000000;
constexpr const char* kLineEnd = "\r\n";

struct AnswerWord {
  Outcome outcome;
  bool probe_only;
};

std::optional<AnswerWord> decode_word(const std::string& word) {
  static const std::map<std::string, AnswerWord> kWords = {
      {"data", {Outcome::ok, false}},   {"absent", {Outcome::miss, false}},
      {"full", {Outcome::full, false}}, {"failed", {Outcome::error, false}},
      {"moot", {Outcome::moot, false}}, {"well", {Outcome::ok, true}},
      {"ill", {Outcome::error, true}}};
  const auto found = kWords.find(word);
  if (found == kWords.end()) return std::nullopt;
  return found->second;
}

bool is_plain_id(const std::string& id) {
  return std::all_of(id.begin(), id.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z'); });
}

}  // namespace

ExecRequest exec_request_of(const core::Call& call) {
  std::string fields = "sort=" + call.class_name + ",asset=" + call.function_name;
  if (!call.idempotency_key.empty()) fields += ",op=" + call.idempotency_key;
  return {call.ref, std::move(fields), call.body};
}

std::string encode_exec(const ExecRequest& request, Millis timeout) {
  const auto whole_ms = static_cast<std::int64_t>(std::floor(timeout.count()));
  std::string message = "exec " + request.ref + ' ' + request.fields;
  message += ",patience=" + std::to_string(whole_ms);
  message += ' ' + std::to_string(request.body.size()) + kLineEnd;
  message += request.body;
  message += kLineEnd;
  return message;
}

std::string encode_cancel(const std::string& ref) { return "drop " + ref + kLineEnd; }

std::string encode_load_order(const std::string& tag, std::uint64_t function, int instances) {
  return "ensure " + tag + " asset=" + net::hex16(function) + ",count=" + std::to_string(instances) +
         kLineEnd;
}

std::string encode_release(std::uint64_t function) { return "release " + net::hex16(function) + kLineEnd; }

std::string encode_probe(const std::string& tag) { return "load " + tag + kLineEnd; }

std::string encode_health_check(const std::string& tag) { return "health " + tag + kLineEnd; }

std::optional<Answer> AnswerDecoder::decode(Reply&& reply) const {
  const auto fields = net::parse_fields(reply.fields);
  const auto word = decode_word(reply.word);
  if (!fields || !word || !is_plain_id(reply.id)) return std::nullopt;
  const auto concurrent_calls = net::parse_whole(field(*fields, "crowd"), kMaxParsedCalls).value_or(0);
  const auto instances = net::parse_whole(field(*fields, "count"), kMaxInstances).value_or(0);
  Answer answer;
  answer.id = std::move(reply.id);
  answer.outcome = word->outcome;
  answer.probe_only = word->probe_only;
  answer.concurrent_calls = static_cast<int>(std::min(concurrent_calls, kMaxConcurrentCalls));
  answer.instances = static_cast<int>(instances);
  answer.report = read_report(field(*fields, "l"));
  answer.body = std::move(reply.body);
  return answer;
}

core::Report AnswerDecoder::read_report(const std::string& text) const {
  const auto fields = net::parse_fields(text, ';', ':');
  if (text.empty() || !fields) return std::nullopt;
  std::vector<double> values;
  for (const auto& name : report_fields_) {
    const auto value = net::parse_number(field(*fields, name));
    if (!value) return std::nullopt;  // the module reads values by position: a gap would shift the rest
    values.push_back(*value);
  }
  return values;
}

}  // namespace pathstack::hosts

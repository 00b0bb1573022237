/// A client of the RESP front that records its calls and their answers.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "net/fields.h"
#include "net/stream.h"
#include "resp/parser.h"
#include "support/call_book.h"

namespace pathstack::test {

/// Sends calls, cancellations and health checks on one connection, and records what it sent and received in
/// `CallRecords`, at times of the given clock.
class CallClient final : public net::Stream {
 public:
  using Now = std::function<Moment()>;
  CallClient(net::Loop& loop, net::BufferPool& pool, CallRecords& records, Now now,
             const std::string& address)
      : Stream(loop, pool, net::connect_to(address), true), records_(records), now_(std::move(now)) {}

  bool closed() const { return closed_; }
  /// True once a health check was answered with UP.
  bool up() const { return up_; }
  std::size_t open_calls() const { return refs_.size(); }

  /// Queues a call; the loop sends it at the end of the turn.
  void call(CallRecord record, const std::string& class_name, const std::string& body) {
    const std::string tag = std::to_string(++last_tag_);
    const std::string fields =
        "ref=" + record.ref + ",allow=" + std::to_string(static_cast<int>(record.timeout.count())) +
        ",lookup=00000000000000a1,spec=memory_mb:300;lanes:4" +
        (record.semantics == pathstack::policy::Semantics::keyed ? ",replay=k" + record.ref : "");
    send_command({"CALL", tag, class_name, fields, body});
    record.sent = now_();
    refs_[tag] = record.ref;
    records_.calls.emplace(record.ref, std::move(record));
  }
  /// Cancels the open call at the given index, in the order of tags as text.
  void cancel(std::size_t index) {
    const auto found = std::next(refs_.begin(), static_cast<std::ptrdiff_t>(index));
    send_command({"CANCEL", found->first});
    records_.calls.at(found->second).abandoned = now_();
    cancelled_[found->first] = found->second;
    refs_.erase(found);
  }
  /// Queues a health check.
  void check() { send_command({"CHECK", std::to_string(++last_tag_), ""}); }
  /// Closes the connection and abandons its open calls.
  void disconnect() {
    for (const auto& [tag, ref] : refs_) records_.calls.at(ref).abandoned = now_();
    refs_.clear();
    end_later();
  }

 private:
  CallRecords& records_;
  Now now_;
  resp::Parser parser_;
  // References by tag, of open, cancelled and answered calls.
  std::map<std::string, std::string> refs_, cancelled_, answered_;
  std::uint64_t last_tag_ = 0;
  bool closed_ = false, up_ = false;

  void send_command(const std::vector<std::string_view>& words) {
    std::string out;
    resp::write_array(out, words);
    write(out);
  }
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override {
    std::vector<resp::Words> answers;
    REQUIRE(parser_.take(bytes, answers));
    for (auto& words : answers) record_answer(std::move(words));
  }
  void record_answer(resp::Words&& words) {
    const auto open = refs_.find(words.at(0));
    const auto cancelled = cancelled_.find(words[0]);
    if (words.size() == 2 && words[1] == "UP") {
      up_ = true;
    } else if (open != refs_.end()) {
      const std::string ref = open->second;
      refs_.erase(open);
      answered_[words[0]] = ref;
      records_.calls.at(ref).answers.push_back({now_(), std::move(words)});
    } else if (cancelled != cancelled_.end()) {
      records_.calls.at(cancelled->second).answers.push_back({now_(), std::move(words)});
    } else if (const auto answered = answered_.find(words[0]); answered != answered_.end()) {
      records_.calls.at(answered->second).answers.push_back({now_(), std::move(words)});
    } else {
      records_.unmatched.push_back("answer under tag " + words[0]);
    }
  }
  void ended() override {
    closed_ = true;
    for (const auto& [tag, ref] : refs_) records_.calls.at(ref).closed_by_invoker = true;
    refs_.clear();
  }
};

}  // namespace pathstack::test

// Tests of the codec of the hosts' line protocol: encoding of requests and decoding of answers.
#include <catch2/catch.hpp>

#include "hosts/wire.h"
#include "support/call.h"

namespace pathstack::test {
namespace {

using core::Millis;
using core::Outcome;
using hosts::Reply;

std::optional<hosts::Answer> decode(Reply reply) {
  return hosts::AnswerDecoder({"inflight", "util"}).decode(std::move(reply));
}

TEST_CASE("an attempt is encoded with its time-out in whole milliseconds and its body") {
  core::Call call = call_of("000000000000000a");
  call.body = "a body";
  CHECK(hosts::encode_exec(hosts::exec_request_of(call), Millis(99.9)) ==
        "exec 000000000000000a sort=bin-check,asset=00000000000000a1,patience=99 6\r\na body\r\n");
  call.idempotency_key = "k1";
  CHECK(hosts::encode_exec(hosts::exec_request_of(call), Millis(1)) ==
        "exec 000000000000000a sort=bin-check,asset=00000000000000a1,op=k1,patience=1 6\r\na body\r\n");
}

TEST_CASE("each other request is encoded as one line") {
  CHECK(hosts::encode_cancel("a") == "drop a\r\n");
  CHECK(hosts::encode_load_order("t1", 0xa1, 2) == "ensure t1 asset=00000000000000a1,count=2\r\n");
  CHECK(hosts::encode_release(0xa1) == "release 00000000000000a1\r\n");
  CHECK(hosts::encode_probe("p1") == "load p1\r\n");
  CHECK(hosts::encode_health_check("h1") == "health h1\r\n");
}

TEST_CASE("each word of an answer maps to an outcome; probe words and data without a body fit no attempt") {
  struct Case {
    const char* word;
    Outcome outcome;
    bool fits_attempt;
  };
  for (const auto& [word, outcome, fits_attempt] :
       {Case{"data", Outcome::ok, true}, Case{"absent", Outcome::miss, true},
        Case{"full", Outcome::full, true}, Case{"failed", Outcome::error, true},
        Case{"moot", Outcome::moot, true}, Case{"well", Outcome::ok, false},
        Case{"ill", Outcome::error, false}}) {
    const auto answer = decode({"a", word, "", "body"});
    REQUIRE(answer);
    CHECK(answer->id == "a");
    CHECK(answer->outcome == outcome);
    CHECK(answer->fits_attempt() == fits_attempt);
    CHECK(answer->body == "body");
  }
  CHECK_FALSE(decode({"a", "data", "", std::nullopt})->fits_attempt());
  CHECK(decode({"a", "full", "", std::nullopt})->fits_attempt());
}

TEST_CASE("an answer with an unknown word, an invalid id or malformed fields is rejected") {
  CHECK_FALSE(decode({"a", "date", "", std::nullopt}));
  CHECK_FALSE(decode({"A", "data", "", ""}));
  CHECK_FALSE(decode({"a", "data", "crowd", ""}));
  CHECK_FALSE(decode({"a", "data", "crowd=1,crowd=2", ""}));
}

TEST_CASE("the numbers of an answer are bounded, and zero if they are malformed") {
  const auto answer = decode({"a", "data", "crowd=7,count=3", ""});
  CHECK(answer->concurrent_calls == 7);
  CHECK(answer->instances == 3);
  CHECK(decode({"a", "data", "crowd=31", ""})->concurrent_calls == 30);
  CHECK(decode({"a", "data", "crowd=1000001", ""})->concurrent_calls == 0);
  CHECK(decode({"a", "data", "count=1000", ""})->instances == 1000);
  CHECK(decode({"a", "data", "count=1001", ""})->instances == 0);
  CHECK(decode({"a", "data", "count=x", ""})->instances == 0);
}

TEST_CASE("a load report is decoded in the order of the configured fields, and only if complete") {
  CHECK(decode({"a", "well", "l=util:0.5;inflight:3", std::nullopt})->report == std::vector<double>{3, 0.5});
  CHECK_FALSE(decode({"a", "well", "l=util:0.5", std::nullopt})->report);
  CHECK_FALSE(decode({"a", "well", "l=util:x;inflight:3", std::nullopt})->report);
  CHECK_FALSE(decode({"a", "well", "", std::nullopt})->report);
}

}  // namespace
}  // namespace pathstack::test

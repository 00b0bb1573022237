// Tests the decoding of client requests, and the error for each kind of invalid request.
#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "resp/request_decoder.h"

namespace pathstack::test {
namespace {

using resp::RequestError;
using resp::Words;

const std::string kIdentity = "ref=00000000000000b1,lookup=00000000000000a1";

Words call_with(const std::string& fields) { return {"CALL", "1", "record", fields, "body"}; }

RequestError header_error(const Words& words) { return std::get<RequestError>(resp::decode_header(words)); }

RequestError call_error(Words words) { return std::get<RequestError>(resp::decode_call(words)); }

TEST_CASE("the header of a request is its kind and its unchanged tag") {
  const auto call = std::get<resp::RequestHeader>(resp::decode_header({"CALL", "007"}));
  CHECK(call.kind == resp::RequestKind::call);
  CHECK(call.tag == "007");
  const auto cancel = std::get<resp::RequestHeader>(resp::decode_header({"CANCEL", "999999999999999999"}));
  CHECK(cancel.kind == resp::RequestKind::cancel);
  const auto check = std::get<resp::RequestHeader>(resp::decode_header({"CHECK", "1", ""}));
  CHECK(check.kind == resp::RequestKind::check);
}

TEST_CASE("a request without a valid tag is rejected with bad_tag, whatever its verb") {
  for (const char* tag : {"", "0", "-1", "x", "1000000000000000000"}) {
    CHECK(header_error({"CALL", tag}) == RequestError::bad_tag);
    CHECK(header_error({"PING", tag}) == RequestError::bad_tag);
  }
  CHECK(header_error({"CHECK"}) == RequestError::bad_tag);
}

TEST_CASE("a verb that is not part of the protocol is unknown") {
  CHECK(header_error({"PING", "1"}) == RequestError::unknown_verb);
  CHECK(header_error({"call", "1"}) == RequestError::unknown_verb);
}

TEST_CASE("the words of a CALL request are decoded into a call") {
  Words words =
      call_with(kIdentity + ",allow=1400,project=p,replay=k,dup=1,effort=2.5,spec=memory_mb:300;lanes:4");
  const auto decoded = resp::decode_call(words);
  const auto& call = std::get<core::Call>(decoded);
  CHECK(call.ref == "00000000000000b1");
  CHECK(call.class_name == "record");
  CHECK(call.tenant == "p");
  CHECK(call.function_name == "00000000000000a1");
  CHECK(call.function == 0xa1);
  CHECK(call.idempotency_key == "k");
  CHECK(call.cost_hint == 2.5);
  CHECK(call.retry);
  CHECK(call.memory_mb == 300);
  CHECK(call.concurrency == 4);
  CHECK(call.client_timeout == core::Millis(1400));
  CHECK(call.body == "body");
}

TEST_CASE("omitted optional fields have default values") {
  Words words = {"CALL", "1", "record", kIdentity + ",allow=0"};
  const auto decoded = resp::decode_call(words);
  const auto& call = std::get<core::Call>(decoded);
  CHECK(call.tenant.empty());
  CHECK(call.idempotency_key.empty());
  CHECK_FALSE(call.cost_hint.has_value());
  CHECK_FALSE(call.retry);
  CHECK(call.memory_mb == 0);
  CHECK(call.concurrency == 1);
  CHECK(call.body.empty());
}

TEST_CASE("an invalid call is rejected with the reason") {
  struct InvalidCall {
    std::string fields;
    RequestError error;
  };
  const std::string valid = kIdentity + ",allow=1400";
  const auto invalid =
      GENERATE_COPY(InvalidCall{"ref", RequestError::bad_field_list},
                    InvalidCall{valid + ",allow=1400", RequestError::bad_field_list},
                    InvalidCall{"lookup=00000000000000a1,allow=1400", RequestError::bad_ref},
                    InvalidCall{"ref=b1,lookup=00000000000000a1,allow=1400", RequestError::bad_ref},
                    InvalidCall{"ref=00000000000000b1,allow=1400", RequestError::bad_function},
                    InvalidCall{"ref=00000000000000b1,lookup=a1,allow=1400", RequestError::bad_function},
                    InvalidCall{kIdentity, RequestError::bad_timeout},
                    InvalidCall{kIdentity + ",allow=-1", RequestError::bad_timeout},
                    InvalidCall{kIdentity + ",allow=3600001", RequestError::bad_timeout},
                    InvalidCall{valid + ",spec=x", RequestError::bad_resources},
                    InvalidCall{valid + ",spec=memory_mb:x", RequestError::bad_resources},
                    InvalidCall{valid + ",spec=lanes:1.5", RequestError::bad_resources},
                    InvalidCall{valid + ",spec=lanes:2147483648", RequestError::bad_resources},
                    InvalidCall{valid + ",replay=a b", RequestError::bad_idempotency_key},
                    InvalidCall{valid + ",replay=a\r\n", RequestError::bad_idempotency_key},
                    InvalidCall{valid + ",effort=x", RequestError::bad_effort});
  CAPTURE(invalid.fields);
  CHECK(call_error(call_with(invalid.fields)) == invalid.error);
}

TEST_CASE("a CALL request has four words, or five with a body") {
  CHECK(call_error({"CALL", "1", "record"}) == RequestError::wrong_word_count);
  CHECK(call_error({"CALL", "1", "record", kIdentity + ",allow=1", "body", ""}) ==
        RequestError::wrong_word_count);
}

TEST_CASE("decoding leaves the words of an invalid call unchanged") {
  Words words = call_with(kIdentity + ",allow=x");
  const Words before = words;
  CHECK(std::get<RequestError>(resp::decode_call(words)) == RequestError::bad_timeout);
  CHECK(words == before);
}

}  // namespace
}  // namespace pathstack::test

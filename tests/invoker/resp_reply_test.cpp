// Tests the encoding of replies to RESP clients.
#include <catch2/catch.hpp>

#include "resp/reply.h"

namespace pathstack::test {
namespace {

using core::CallStatus;
using core::Millis;

TEST_CASE("the reply to a served call contains OK, an empty word and the body") {
  CHECK(resp::encode_answer("7", {CallStatus::served, Millis(0), "a\r\nb"}) ==
        "*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$0\r\n\r\n$4\r\na\r\nb\r\n");
  CHECK(resp::encode_answer("7", {CallStatus::served, Millis(5), ""}) ==
        "*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$0\r\n\r\n$0\r\n\r\n");
}

TEST_CASE("the reply to a refused or failed call contains its status and no body") {
  CHECK(resp::encode_answer("12", {CallStatus::refused, Millis(0), "x"}) ==
        "*2\r\n$2\r\n12\r\n$4\r\nBUSY\r\n");
  CHECK(resp::encode_answer("12", {}) == "*2\r\n$2\r\n12\r\n$6\r\nFAILED\r\n");
}

TEST_CASE("the time to retry after is rounded up to whole milliseconds, and omitted unless positive") {
  CHECK(resp::encode_answer("1", {CallStatus::refused, Millis(9.01), ""}) ==
        "*3\r\n$1\r\n1\r\n$4\r\nBUSY\r\n$11\r\ncooldown=10\r\n");
  CHECK(resp::encode_answer("1", {CallStatus::failed, Millis(0.2), ""}) ==
        "*3\r\n$1\r\n1\r\n$6\r\nFAILED\r\n$10\r\ncooldown=1\r\n");
  CHECK(resp::encode_answer("1", {CallStatus::refused, Millis(-3), ""}) == "*2\r\n$1\r\n1\r\n$4\r\nBUSY\r\n");
}

TEST_CASE("the reply to a health check is DOWN while draining and UP otherwise") {
  CHECK(resp::encode_health("3", false) == "*2\r\n$1\r\n3\r\n$2\r\nUP\r\n");
  CHECK(resp::encode_health("3", true) == "*2\r\n$1\r\n3\r\n$4\r\nDOWN\r\n");
}

}  // namespace
}  // namespace pathstack::test

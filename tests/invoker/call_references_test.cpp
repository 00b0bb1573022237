// Uniqueness of call references among the open calls and the recently ended ones.
#include "core/call_references.h"

#include <catch2/catch.hpp>

namespace pathstack::test {
namespace {

using core::CallReferences;
using core::Millis;

TEST_CASE("the reference of an open call cannot be added again") {
  CallReferences references;
  CHECK(references.try_add("a"));
  CHECK_FALSE(references.try_add("a"));
  CHECK(references.try_add("b"));
  CHECK(references.size() == 2);
}

TEST_CASE("the reference of an ended call is removed at the first end of a call more than 10 s later") {
  CallReferences references;
  REQUIRE(references.try_add("a"));
  REQUIRE(references.try_add("b"));
  REQUIRE(references.try_add("c"));
  references.note_ended("a", Millis(1000));
  CHECK_FALSE(references.try_add("a"));
  references.note_ended("b", Millis(11000));
  CHECK_FALSE(references.try_add("a"));
  references.note_ended("c", Millis(11001));
  CHECK(references.try_add("a"));
  CHECK_FALSE(references.try_add("b"));
  CHECK_FALSE(references.try_add("c"));
}

TEST_CASE("references of ended calls are kept up to the bound, the newest ones") {
  CallReferences references;
  REQUIRE(references.try_add("open"));
  constexpr std::size_t calls = CallReferences::kMaxEnded + 3;
  for (std::size_t i = 0; i < calls; ++i) {
    REQUIRE(references.try_add(std::to_string(i)));
    references.note_ended(std::to_string(i), Millis(1000));
  }
  CHECK(references.size() == CallReferences::kMaxEnded + 1);
  CHECK_FALSE(references.try_add("open"));
  CHECK(references.try_add("2"));
  CHECK_FALSE(references.try_add("3"));
}

}  // namespace
}  // namespace pathstack::test

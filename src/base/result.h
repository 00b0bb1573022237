/// A return type that holds a value or an error.
#pragma once

#include <utility>
#include <variant>

namespace pathstack {

/// The result of a function that may fail: a value or a typed error. `Value` and `Error` must be different
/// types. Reading the alternative that is not held is a programming error and throws std::bad_variant_access.
template <typename Value, typename Error>
class Result {
 public:
  Result(Value value) : state_(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : state_(std::in_place_index<1>, std::move(error)) {}

  /// True if the result holds a value.
  explicit operator bool() const { return state_.index() == 0; }

  Value& operator*() { return std::get<0>(state_); }
  const Value& operator*() const { return std::get<0>(state_); }
  Value* operator->() { return &std::get<0>(state_); }
  const Value* operator->() const { return &std::get<0>(state_); }

  const Error& error() const { return std::get<1>(state_); }

 private:
  std::variant<Value, Error> state_;
};

}  // namespace pathstack

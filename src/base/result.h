// A value, or the reason why there is none.
#pragma once

#include <utility>
#include <variant>

namespace pathstack {

/// What a function that may fail returns: its value, or a typed error. `Value` and `Error` must differ. To
/// read the one that isn't there is a fault of the program; the variant throws std::bad_variant_access.
template <typename Value, typename Error>
class Result {
 public:
  Result(Value value) : state_(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : state_(std::in_place_index<1>, std::move(error)) {}

  /// True if there is a value.
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

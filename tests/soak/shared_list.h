/// Helpers for lists that own connections through shared pointers.
#pragma once

#include <algorithm>
#include <list>
#include <memory>

#include "net/loop.h"

namespace pathstack::soak {

/// The shared pointer to `item`; null if the list does not hold it. Cost: linear in the list.
template <typename T>
std::shared_ptr<T> owner_of(const std::list<std::shared_ptr<T>>& list, const T& item) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&](const auto& other) { return other.get() == &item; });
  return found == list.end() ? nullptr : *found;
}

/// Removes `ended` from the list. Defers its destruction to the end of the loop's turn, as one of its
/// functions may still be running. Cost: linear in the list.
template <typename T>
void release(std::list<std::shared_ptr<T>>& list, const T& ended, net::Loop& loop) {
  const std::shared_ptr<T> owner = owner_of(list, ended);
  if (!owner) return;
  loop.defer_destruction(owner);
  list.remove(owner);
}

}  // namespace pathstack::soak

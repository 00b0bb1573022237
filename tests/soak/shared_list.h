// Lists of connections that their owners keep alive.
#pragma once

#include <algorithm>
#include <list>
#include <memory>

#include "net/loop.h"

namespace pathstack::soak {

/// The owner of `item`; null if the list does not hold it. Linear in the list.
template <typename T>
std::shared_ptr<T> owner_of(const std::list<std::shared_ptr<T>>& list, const T& item) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&](const auto& other) { return other.get() == &item; });
  return found == list.end() ? nullptr : *found;
}

/// Takes `ended` out of the list; it lives to the end of the loop's turn, as one of its functions may still
/// run.
template <typename T>
void release(std::list<std::shared_ptr<T>>& list, const T& ended, net::Loop& loop) {
  const std::shared_ptr<T> owner = owner_of(list, ended);
  if (!owner) return;
  loop.defer_destruction(owner);
  list.remove(owner);
}

}  // namespace pathstack::soak

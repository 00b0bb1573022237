/// The table of open calls of all clients.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/types.h"
#include "resp/connection.h"

namespace pathstack::resp {

/// The connection and tag that an answer is sent to, and the memory that the call holds.
struct OpenCall {
  Connection* connection = nullptr;
  std::string tag;
  std::size_t bytes = 0;
};

/// Maps call ids to connections and tags, and keeps the sum of the memory that the calls hold. Used by the
/// front on the thread of the event loop.
///
/// Invariant: a call is in the table exactly as long as its tag is registered with its connection, and is
/// removed before the connection is destroyed. All operations take constant time on average.
class CallTable {
 public:
  /// Adds the call and registers its tag with the connection. Neither may be in use.
  void add(core::CallId id, OpenCall call) {
    call.connection->add_call(call.tag, id, call.bytes);
    bytes_ += call.bytes;
    calls_[id] = std::move(call);
  }

  /// Removes and returns the call. Empty if the call is not open: cancelled, answered, or its client has
  /// closed the connection.
  std::optional<OpenCall> remove(core::CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return std::nullopt;
    OpenCall call = std::move(found->second);
    calls_.erase(found);
    bytes_ -= call.bytes;
    call.connection->remove_call(call.tag, call.bytes);
    return call;
  }

  std::size_t size() const { return calls_.size(); }
  /// The memory that all open calls hold, in bytes.
  std::size_t bytes() const { return bytes_; }

 private:
  std::unordered_map<core::CallId, OpenCall> calls_;
  std::size_t bytes_ = 0;
};

}  // namespace pathstack::resp

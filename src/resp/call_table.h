// The open calls of all clients.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/types.h"
#include "resp/connection.h"

namespace pathstack::resp {

/// Where the answer of a call goes.
struct OpenCall {
  Connection* connection = nullptr;
  std::string tag;
  std::size_t body_bytes = 0;
};

/// Finds the connection and tag of a call, and sums up the bodies. Used by the front on the loop's thread.
///
/// What must hold: a call stands here exactly as long as its tag is open on its connection, and is removed
/// before the connection is destroyed. Cost: constant.
class CallTable {
 public:
  void add(core::CallId id, OpenCall call) {
    call.connection->add_call(call.tag, id);
    body_bytes_ += call.body_bytes;
    calls_[id] = std::move(call);
  }

  /// The call as it was; nothing if it is not open: cancelled, answered, or its client has closed.
  std::optional<OpenCall> remove(core::CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return std::nullopt;
    OpenCall call = std::move(found->second);
    calls_.erase(found);
    body_bytes_ -= call.body_bytes;
    call.connection->remove_call(call.tag);
    return call;
  }

  std::size_t size() const { return calls_.size(); }
  std::size_t body_bytes() const { return body_bytes_; }

 private:
  std::unordered_map<core::CallId, OpenCall> calls_;
  std::size_t body_bytes_ = 0;
};

}  // namespace pathstack::resp

#include "hosts/open_attempts.h"

#include <algorithm>
#include <utility>

namespace pathstack::hosts {
namespace {

constexpr Millis kMinTimeout{1};  // the smallest time-out that the protocol can express
// An attempt carries the time that its client has left when it is written. An attempt that stays unsent for
// longer than this, plus up to one interval of the liveness checks, would state more time than is left.
constexpr Millis kMaxUnsentAge{80};

}  // namespace

void OpenAttempts::add(const core::Attempt& attempt, const core::Call& call, Millis now, Millis timeout) {
  ExecRequest request = exec_request_of(call);
  OpenAttempt open;
  open.attempt = attempt;
  open.added_at = now;
  last_timeout_ = timeout;
  if (stream_.connecting()) {
    waiting_bytes_ += request.body.size();
    waiting_.push_back({std::move(request), now + timeout});
  } else {
    write(request, now, timeout, open);
  }
  by_ref_.emplace(call.ref, open);
}

std::vector<OpenAttempt> OpenAttempts::connected(Millis now, const MayWrite& may_write) {
  const auto waiting = std::exchange(waiting_, {});
  waiting_bytes_ = 0;
  std::vector<OpenAttempt> stopped;
  for (const auto& [request, expires_at] : waiting) {
    OpenAttempt& open = by_ref_.at(request.ref);
    if (may_write(open.added_at)) {
      write(request, now, expires_at - now, open);
      continue;
    }
    stopped.push_back(open);
    by_ref_.erase(request.ref);
  }
  return stopped;
}

// Writes nothing if the client has no time left; the dispatcher cancels such an attempt in its next turn.
void OpenAttempts::write(const ExecRequest& request, Millis now, Millis timeout, OpenAttempt& open) {
  if (timeout < kMinTimeout) return;
  stream_.write(encode_exec(request, timeout));
  open.message = {true, stream_.outbox().appended()};
  open.written_at = now;
}

std::optional<std::string> OpenAttempts::ref_of(const core::Attempt& attempt) const {
  const auto found = std::find_if(by_ref_.begin(), by_ref_.end(),
                                  [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (found == by_ref_.end()) return std::nullopt;
  return found->first;
}

std::optional<OpenAttempt> OpenAttempts::remove(const std::string& ref) {
  const auto found = by_ref_.find(ref);
  if (found == by_ref_.end()) return std::nullopt;
  const OpenAttempt open = found->second;
  by_ref_.erase(found);
  if (!open.message.written) {
    const auto has_ref = [&](const Waiting& waiting) { return waiting.request.ref == ref; };
    const auto waiting = std::find_if(waiting_.begin(), waiting_.end(), has_ref);
    if (waiting == waiting_.end()) return open;
    waiting_bytes_ -= waiting->request.body.size();
    waiting_.erase(waiting);
  }
  return open;
}

std::vector<OpenAttempt> OpenAttempts::remove_all() {
  std::vector<OpenAttempt> all;
  for (const auto& [ref, open] : by_ref_) all.push_back(open);
  by_ref_.clear();
  waiting_.clear();
  waiting_bytes_ = 0;
  return all;
}

bool OpenAttempts::has_overdue(Millis now) const {
  const net::Outbox& outbox = stream_.outbox();
  if (outbox.empty()) return false;
  return std::any_of(by_ref_.begin(), by_ref_.end(), [&](const auto& entry) {
    const OpenAttempt& open = entry.second;
    const bool unsent = open.message.written && !open.message.has_left(outbox);
    return unsent && now - open.written_at > kMaxUnsentAge;
  });
}

}  // namespace pathstack::hosts

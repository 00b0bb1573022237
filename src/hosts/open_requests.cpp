#include "hosts/open_requests.h"

#include <utility>

namespace pathstack::hosts {

OpenRequests::OpenRequests(net::Loop& loop, net::Stream& stream, Millis timeout,
                           TakeLoadBudget take_load_budget, TimedOut timed_out)
    : loop_(loop),
      stream_(stream),
      timeout_(timeout),
      take_load_budget_(std::move(take_load_budget)),
      timed_out_(std::move(timed_out)) {}

void OpenRequests::add(const std::string& tag, OpenRequest::Kind kind, std::uint64_t function,
                       const std::string& message) {
  const Millis now = loop_.now();
  OpenRequest& request = by_tag_[tag];
  request.kind = kind;
  request.function = function;
  request.added_at = now;
  set_timer(tag, request, now + timeout_);
  write_or_wait(tag, message);
}

void OpenRequests::send_unanswered(const std::string& message) { write_or_wait({}, message); }

void OpenRequests::connected(const OpenAttempts::MayWrite& may_write) {
  const auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& line : waiting) {
    const auto found = by_tag_.find(line.tag);
    const bool is_order = found != by_tag_.end() && found->second.kind == OpenRequest::Kind::load_order;
    if (is_order && !may_write(found->second.added_at)) {
      expire(line.tag, found->second);
    } else {
      write(line);
    }
  }
}

// The order ends as a time-out, because the instances at the host are unknown in both cases.
void OpenRequests::expire(const std::string& tag, OpenRequest& request) {
  loop_.cancel(request.timer);
  set_timer(tag, request, loop_.now());
}

void OpenRequests::write_or_wait(const std::string& tag, const std::string& message) {
  if (stream_.connecting()) {
    waiting_.push_back({tag, message});
  } else {
    write({tag, message});
  }
}

void OpenRequests::write(const Waiting& line) {
  if (line.tag.empty()) return stream_.write(line.message);
  const auto found = by_tag_.find(line.tag);
  if (found == by_tag_.end()) return;  // timed out while queued
  OpenRequest& request = found->second;
  if (request.kind == OpenRequest::Kind::load_order && !take_load_budget_()) {
    return expire(line.tag, request);
  }
  stream_.write(line.message);
  request.message = {true, stream_.outbox().appended()};
}

void OpenRequests::set_timer(const std::string& tag, OpenRequest& request, Millis at) {
  request.timer = loop_.at(at, [this, tag] {
    if (const auto expired = remove(tag)) timed_out_(*expired);
  });
}

std::optional<OpenRequest> OpenRequests::remove(const std::string& tag) {
  const auto found = by_tag_.find(tag);
  if (found == by_tag_.end()) return std::nullopt;
  const OpenRequest request = found->second;
  loop_.cancel(request.timer);
  by_tag_.erase(found);
  return request;
}

std::vector<OpenRequest> OpenRequests::remove_all() {
  std::vector<OpenRequest> all;
  for (const auto& [tag, request] : by_tag_) {
    loop_.cancel(request.timer);
    all.push_back(request);
  }
  by_tag_.clear();
  waiting_.clear();
  return all;
}

}  // namespace pathstack::hosts

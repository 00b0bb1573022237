#include "app/reloader.h"

#include <algorithm>
#include <exception>

namespace pathstack::app {

void Reloader::request() {
  loop_.cancel(retry_);
  attempts_ = 0;
  pause_ = kRetryFirst;
  fault_.clear();
  attempt();
}

void Reloader::attempt() {
  ++attempts_;
  try {
    reload_();
  } catch (const std::exception& fault) { failed(fault.what()); }
}

void Reloader::failed(const std::string& fault) {
  const bool last = attempts_ >= kAttempts;
  if (fault != fault_ || last) on_fault_(fault, last);
  fault_ = fault;
  if (last) return;
  retry_ = loop_.at(loop_.now() + pause_, [this] { attempt(); });
  pause_ = std::min(pause_ * 2, kRetryMost);
}

}  // namespace pathstack::app

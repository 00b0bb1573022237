#include "app/reloader.h"

#include <algorithm>
#include <exception>

namespace pathstack::app {

void Reloader::request() {
  loop_.cancel(retry_);
  attempts_ = 0;
  retry_delay_ = kFirstRetryDelay;
  last_fault_.clear();
  try_reload();
}

void Reloader::try_reload() {
  ++attempts_;
  try {
    reload_();
  } catch (const std::exception& fault) { on_failure(fault.what()); }
}

void Reloader::on_failure(const std::string& fault) {
  const bool last = attempts_ >= kMaxAttempts;
  if (fault != last_fault_ || last) on_fault_(fault, last);
  last_fault_ = fault;
  if (last) return;
  retry_ = loop_.at(loop_.now() + retry_delay_, [this] { try_reload(); });
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
}

}  // namespace pathstack::app

#include "core/call_references.h"

namespace pathstack::core {

void CallReferences::end(const std::string& ref, Millis now) {
  ended_.emplace_back(now, ref);
  while (now - ended_.front().first > kKeptAfterEnd || ended_.size() > kMaxEnded) {
    refs_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

}  // namespace pathstack::core

#include "core/call_references.h"

namespace pathstack::core {

void CallReferences::note_ended(const std::string& ref, Millis now) {
  ended_.emplace_back(now, ref);
  while (now - ended_.front().first > kRetentionTime || ended_.size() > kMaxEnded) {
    refs_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

}  // namespace pathstack::core

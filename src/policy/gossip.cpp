#include "policy/gossip.h"

#include <algorithm>
#include <cmath>

namespace pathstack::policy {
namespace {

constexpr std::size_t kTagLength = 3;
constexpr std::size_t kRecordLength = kTagLength + 1;
constexpr std::size_t kMessageBytes = 240;  // within the size limit of the protocol
constexpr char kZeroLevel = '0';
constexpr char kDownMark = '!';            // in place of a level; does not occur in tags of workers
constexpr char kOwnRequestsTag[] = "!!!";  // in place of a worker's tag
constexpr double kStepsPerDoubling = 4;    // levels of own requests are on a logarithmic scale
constexpr int kMaxWaiting = 60;

}  // namespace

std::string worker_tag(std::uint64_t hash) {
  std::string tag;
  for (std::size_t i = 0; i < kTagLength; ++i)
    tag += static_cast<char>(kZeroLevel + (hash >> (8 + 6 * i)) % 64);
  return tag;
}

void GossipMessage::add_own_requests(double requests) {
  const int level = static_cast<int>(kStepsPerDoubling * std::log2(std::max(requests, 1.0)));
  text_ += kOwnRequestsTag;
  text_ += static_cast<char>(kZeroLevel + level);
}

void GossipMessage::add_worker_load(std::uint64_t worker_hash, double waiting) {
  const int level = static_cast<int>(std::min<double>(waiting, kMaxWaiting));
  text_ += worker_tag(worker_hash) + static_cast<char>(kZeroLevel + level);
}

bool GossipMessage::has_space() const { return text_.size() + kRecordLength <= kMessageBytes; }

bool GossipMessage::has_worker_records() const { return text_.size() > kRecordLength; }

std::string GossipMessage::worker_down(std::uint64_t worker_hash) {
  return worker_tag(worker_hash) + kDownMark;
}

std::vector<GossipRecord> parse_gossip(const std::string& text) {
  std::vector<GossipRecord> records;
  for (std::size_t i = 0; i + kRecordLength <= text.size(); i += kRecordLength) {
    GossipRecord record;
    record.tag = text.substr(i, kTagLength);
    const char level = text[i + kTagLength];
    if (record.tag == kOwnRequestsTag) {
      record.kind = GossipRecord::Kind::own_requests;
      record.value = std::exp2((level - kZeroLevel) / kStepsPerDoubling);
    } else if (level == kDownMark) {
      record.kind = GossipRecord::Kind::worker_down;
    } else {
      record.value = std::min(std::max(level - kZeroLevel, 0), kMaxWaiting);
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace pathstack::policy

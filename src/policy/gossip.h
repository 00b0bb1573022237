// The text that invokers send each other: load and loss of workers, and how busy the invoker itself is.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pathstack::policy {

/// One record of four characters: three name a worker, or the invoker itself, the fourth is a level.
struct GossipRecord {
  enum class Kind {
    own_requests,  // the sender's recent requests: `value`
    worker_down,   // the worker with this tag is down
    worker_load,   // about `value` requests wait at the worker with this tag
  };
  Kind kind = Kind::worker_load;
  std::string tag;
  double value = 0;
};

/// Three printable letters of the hash of a worker's id. Two workers may share a tag; then the one listed
/// last takes what is received, which costs a worse choice at most.
std::string worker_tag(std::uint64_t hash);

/// Collects records into one message that stays under the wire's limit.
class GossipMessage {
 public:
  void add_own_requests(double requests);
  void add_worker_load(std::uint64_t worker_hash, double waiting);
  /// A load record still fits.
  bool has_space() const;
  const std::string& text() const { return text_; }
  /// A message that tells of nothing but the sender's calls is not worth sending.
  bool has_worker_records() const;

  static std::string worker_down(std::uint64_t worker_hash);

 private:
  std::string text_;
};

/// Reads a message of any content; what is cut short is left out, and unknown tags are the caller's to skip.
std::vector<GossipRecord> parse_gossip(const std::string& text);

}  // namespace pathstack::policy

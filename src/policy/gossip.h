/// Text messages between invokers: load and loss of workers, and the sender's own number of requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pathstack::policy {

/// One record of four characters: a tag of three for a worker or the sender itself, and a level.
struct GossipRecord {
  enum class Kind {
    own_requests,  // `value` is the number of the sender's recent requests
    worker_down,   // the worker with this tag is down
    worker_load,   // about `value` requests are waiting at the worker with this tag
  };
  Kind kind = Kind::worker_load;
  std::string tag;
  double value = 0;
};

/// Tag of three printable characters, taken from the hash of the worker's id. If two workers share a tag, its
/// records are assigned to the one listed last; at worst this leads to a poorer choice of worker.
std::string worker_tag(std::uint64_t hash);

/// Collects records into one message within the size limit of the protocol.
class GossipMessage {
 public:
  void add_own_requests(double requests);
  void add_worker_load(std::uint64_t worker_hash, double waiting);
  /// True if another load record fits.
  bool has_space() const;
  const std::string& text() const { return text_; }
  /// True if the message holds more than the sender's own record, which alone is not worth sending.
  bool has_worker_records() const;

  static std::string worker_down(std::uint64_t worker_hash);

 private:
  std::string text_;
};

/// Parses a message of any content. An incomplete record at the end is dropped; the caller must skip records
/// with unknown tags.
std::vector<GossipRecord> parse_gossip(const std::string& text);

}  // namespace pathstack::policy

/// Summarizes a replay for comparison: a digest of the adapter's replies and a count of each kind of action.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace pathstack::policy::replay {

/// 64-bit FNV-1a hash over all added lines, each followed by a line feed.
class Digest {
 public:
  void add_line(const std::string& line) {
    for (const char byte : line) add_byte(static_cast<unsigned char>(byte));
    add_byte('\n');
  }
  std::uint64_t value() const { return hash_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash_ = kOffsetBasis;

  void add_byte(unsigned char byte) { hash_ = (hash_ ^ byte) * kPrime; }
};

/// Digest and action counts of the replies of one day.
class Summary {
 public:
  /// Adds one reply, given both as text and parsed.
  void add_reply(const std::string& line, const nlohmann::json& reply) {
    ++rounds_;
    digest_.add_line(line);
    for (const auto& group : reply.at("routers")) {
      for (const auto& command : group.at("cmds")) ++actions_[command.at(0).get<std::string>()];
    }
  }
  int count(const std::string& action) const {
    const auto found = actions_.find(action);
    return found == actions_.end() ? 0 : found->second;
  }
  /// Formats the summary as one line: name, digest, number of rounds, and the count of each action in
  /// alphabetical order.
  std::string line(const std::string& name) const {
    std::ostringstream text;
    text << name << ' ' << std::hex << digest_.value() << std::dec << " rounds=" << rounds_;
    for (const auto& [action, count] : actions_) text << ' ' << action << '=' << count;
    return text.str();
  }

 private:
  Digest digest_;
  int rounds_ = 0;
  std::map<std::string, int> actions_;
};

}  // namespace pathstack::policy::replay

// A long seeded run of triggers under faults of the broker and of the hosts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "support/random.h"
#include "support/settings.h"
#include "support/stand_in_host.h"
#include "triggers.h"

namespace pathstack::test {

/// What came of a run, as counted by the stand-ins alone.
struct ChaosTally {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t connections_dropped = 0;
  std::size_t hosts_drained = 0;
  std::size_t duplicate_runs = 0;     // calls of an at-most-once class that ran more than once
  std::size_t lost_answers = 0;       // calls without any answer
  std::size_t differing_answers = 0;  // answers that differ from the first one to their call
  std::size_t sent_after_drain = 0;   // attempts at hosts that were draining for longer than the grace
  bool settled = false;               // nothing was left open

  bool clean() const {
    return settled && lost_answers + differing_answers + duplicate_runs + sent_after_drain == 0;
  }
};

std::ostream& operator<<(std::ostream& out, const ChaosTally& tally);

/// When a run ends.
struct ChaosLimits {
  std::size_t calls = 0;
  Millis duration{0};  // with about a hundred calls a second; 0: as fast as it goes, up to `calls`
};

/// Calls under a broker that drops connections, redelivers and reorders, at hosts that fail in every way and
/// drain in turns. Runs once.
class ChaosRun {
 public:
  ChaosRun(std::uint64_t seed, ChaosLimits limits);

  ChaosTally run();

 private:
  ChaosLimits limits_;
  core::Settings settings_;
  AmqpFixture fixture_;
  Random random_;
  ChaosTally tally_;
  Millis began_{0};
  std::vector<std::string> at_most_once_bodies_;
  std::size_t next_drop_ = 30;   // calls sent
  std::size_t next_drain_ = 40;  // calls sent

  bool timed() const { return limits_.duration.count() > 0; }
  Millis elapsed() const { return fixture_.world.loop.now() - began_; }
  Reaction react(std::size_t host);
  void send_due_calls();
  void send_call();
  void drop_connections_if_due();
  void drain_next_host_if_due();
  void count_answers();
  void count_duplicate_runs();
};

}  // namespace pathstack::test

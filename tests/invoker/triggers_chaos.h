/// Randomized, seeded end-to-end test of calls from a broker, with faults injected at the broker and the
/// hosts.
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

/// The result of a run, counted by the stand-ins and not by the code under test.
struct ChaosTally {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t connections_dropped = 0;
  std::size_t hosts_drained = 0;
  std::size_t duplicate_runs = 0;     // at-most-once calls that ran more than once
  std::size_t lost_answers = 0;       // calls without any answer
  std::size_t differing_answers = 0;  // answers that differ from the first answer to the same call
  std::size_t sent_after_drain = 0;   // attempts at hosts draining for longer than the grace period
  bool settled = false;               // no call or delivery was left open

  bool clean() const {
    return settled && lost_answers + differing_answers + duplicate_runs + sent_after_drain == 0;
  }
};

std::ostream& operator<<(std::ostream& out, const ChaosTally& tally);

/// The end condition of a run: the number of calls or the duration, whichever is reached first.
struct ChaosLimits {
  std::size_t calls = 0;
  Millis duration{0};  // paced at about 100 calls/s; 0: not paced, ends after `calls`
};

/// Sends calls through a broker that drops connections, redelivers, reorders and nacks, to hosts that inject
/// every kind of failure and drain in turn. An object can be run once.
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
  std::size_t next_drop_ = 30;   // number of calls sent at the next connection drop
  std::size_t next_drain_ = 40;  // number of calls sent at the next host drain

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

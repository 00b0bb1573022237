#include "triggers_chaos.h"

namespace pathstack::test {
namespace {

constexpr std::size_t kHosts = 3;
constexpr std::size_t kMaxQueued = 8;  // messages in the broker's queue
constexpr int kMaxSentPerTurn = 4;
constexpr double kMillisPerCall = 10;           // in a timed run
constexpr std::size_t kCallsBetweenDrops = 30;  // in a run that is not timed
constexpr std::size_t kDropOneTurnIn = 2000;    // in a timed run
constexpr std::size_t kCallsBetweenDrains = 100;

core::Settings short_deadlines() {
  core::Settings s = settings();
  for (auto& c : s.classes) c.latency_objective = c.deadline = Millis(400);
  return s;
}

std::string message_id(std::size_t call) { return "m" + std::to_string(call); }

const char* reply_word(std::size_t roll) {
  if (roll < 40) return "absent";
  if (roll < 60) return "full";
  if (roll < 80) return "failed";
  return "data";
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const ChaosTally& tally) {
  return out << "sent " << tally.sent << " served " << tally.served << " connections_dropped "
             << tally.connections_dropped << " hosts_drained " << tally.hosts_drained << " duplicate_runs "
             << tally.duplicate_runs << " lost_answers " << tally.lost_answers << " differing_answers "
             << tally.differing_answers << " sent_after_drain " << tally.sent_after_drain << " settled "
             << tally.settled;
}

ChaosRun::ChaosRun(std::uint64_t seed, ChaosLimits limits)
    : limits_(limits), settings_(short_deadlines()), fixture_(kHosts, seed, {}, settings_), random_(seed) {
  StandInBroker::Faults faults;
  faults.drop = 12;
  faults.redeliver = 60;
  faults.reorder = 300;
  faults.nack = 40;
  fixture_.broker.faults = faults;
  for (std::size_t i = 0; i < kHosts; ++i) {
    fixture_.world.host[i]->react = [this, i](const std::string&) { return react(i); };
  }
}

ChaosTally ChaosRun::run() {
  began_ = fixture_.world.loop.now();
  while (tally_.sent < limits_.calls) {
    if (timed() && elapsed() >= limits_.duration) break;
    send_due_calls();
    fixture_.world.turn();
    drop_connections_if_due();
    drain_next_host_if_due();
  }
  tally_.settled = fixture_.run_until_settled();
  count_answers();
  count_duplicate_runs();
  tally_.connections_dropped = fixture_.broker.dropped_connections;
  return tally_;
}

Reaction ChaosRun::react(std::size_t host) {
  const auto& listed = fixture_.world.host_states[host];
  const bool draining = listed.state != policy::WorkerState::ready;
  const bool grace_is_over = fixture_.world.loop.now() - listed.at > settings_.drain_grace;
  if (draining && grace_is_over) ++tally_.sent_after_drain;
  const std::size_t roll = below(random_, 1000);
  if (roll < 10) return {Reaction::silence, ""};
  if (roll < 13) return {Reaction::truncated, "data"};
  if (roll < 16) return {Reaction::close, ""};
  return {Reaction::reply, reply_word(roll)};
}

void ChaosRun::send_due_calls() {
  const auto due = timed() ? static_cast<std::size_t>(elapsed().count() / kMillisPerCall) : limits_.calls;
  for (int i = 0; i < kMaxSentPerTurn; ++i) {
    if (tally_.sent >= due || fixture_.broker.queue.size() >= kMaxQueued) return;
    send_call();
  }
}

void ChaosRun::send_call() {
  const bool at_most_once = below(random_, 3) == 0;
  const std::string id = message_id(tally_.sent++);
  const std::string body = "bin of " + id;
  fixture_.broker.send(id, at_most_once ? "bin-record" : "bin-check", body);
  if (at_most_once) at_most_once_bodies_.push_back(body);
}

// An untimed run is short, so it drops connections at fixed call counts; a timed run drops them at random.
void ChaosRun::drop_connections_if_due() {
  const bool due = timed() ? below(random_, kDropOneTurnIn) == 0 : tally_.sent >= next_drop_;
  if (!due) return;
  next_drop_ += kCallsBetweenDrops;
  fixture_.broker.drop_connections();
}

// One host drains at a time. It returns as a new incarnation when the next host starts draining.
void ChaosRun::drain_next_host_if_due() {
  if (tally_.sent < next_drain_) return;
  next_drain_ += kCallsBetweenDrains;
  World& world = fixture_.world;
  const std::size_t returning = tally_.hosts_drained % kHosts;
  ++tally_.hosts_drained;
  const std::size_t leaving = tally_.hosts_drained % kHosts;
  world.publish_hosts(policy::WorkerState::ready, world.loop.now().count(), returning);
  world.publish_hosts(policy::WorkerState::draining, 0, leaving);
}

void ChaosRun::count_answers() {
  for (std::size_t i = 0; i < tally_.sent; ++i) {
    const auto& answers = fixture_.broker.answers_to(message_id(i));
    if (answers.empty()) {
      ++tally_.lost_answers;
      continue;
    }
    const auto& first = answers.front();
    for (const auto& answer : answers) {
      const bool same = status_of(answer) == status_of(first) && answer.body == first.body;
      if (!same) ++tally_.differing_answers;
    }
    if (status_of(first) == "OK") ++tally_.served;
  }
}

void ChaosRun::count_duplicate_runs() {
  for (const auto& body : at_most_once_bodies_) {
    int runs = 0;
    for (const auto& host : fixture_.world.host) {
      const auto found = host->runs.find(body);
      if (found != host->runs.end()) runs += found->second;
    }
    if (runs > 1) ++tally_.duplicate_runs;
  }
}

}  // namespace pathstack::test

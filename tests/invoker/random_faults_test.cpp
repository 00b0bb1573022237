// Checks all rules for a few hundred calls over loopback while system calls fail at random.
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "hosts/connection_pool.h"
#include "resp/front.h"
#include "support/call_book.h"
#include "support/call_client.h"
#include "support/faulty_calls.h"
#include "support/random_host.h"
#include "support/settings.h"

namespace pathstack::test {
namespace {

using pathstack::policy::Semantics;
using Violations = std::vector<std::string>;

constexpr std::size_t kHosts = 4, kClients = 6, kCalls = 300;
constexpr Millis kMinClientTimeout{100}, kClientTimeoutSpread{700};
constexpr Millis kMaxTimeAfterCancel{100};   // an attempt may start this long after its client left
constexpr Millis kTimeoutSlack{150};         // a host's time-out may exceed the client's by this
constexpr Millis kSocketSlack{50};           // added to all other limits on sockets
constexpr Millis kLateAnswerTime{300};       // time for late answers after all calls are answered
constexpr std::uint64_t kCrossingPolls = 5;  // after this many polls, earlier writes have been read
constexpr Millis kCrossingTime{10};
constexpr Millis kMaxRunTime{20000}, kMaxCheckTime{3000};  // limits on waits of the test

core::Settings settings_of_all_semantics() {
  core::Settings s = settings();
  pathstack::policy::ClassSettings keyed = s.classes[0];
  keyed.name = "bin-keyed";
  keyed.semantics = Semantics::keyed;
  keyed.scope = pathstack::policy::KeyScope::all;
  keyed.key_window = Millis(10000);
  s.classes.push_back(keyed);
  return s;
}

/// The parts of an invoker with clients and hosts, all on one loop. System calls of the invoker fail at
/// random.
class Session {
 public:
  explicit Session(std::uint64_t seed)
      : random_(seed),
        clock_(loop_),
        connection_pool_(loop_, buffers_, counters_, host_limits()),
        dispatcher_(
            settings_, [this] { return loop_.now(); }, connection_pool_, counters_),
        front_(loop_, buffers_, dispatcher_, counters_, {}) {
    connection_pool_.attach(dispatcher_);
    REQUIRE(front_.listen("127.0.0.1:0"));
    calls_ = std::make_unique<FaultyCalls>(seed + 1, FaultyCalls::Rates(), front_.address());
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<RandomHost>(loop_, buffers_, book_, now_, i, seed + 2 + i));
    }
    list_hosts();
    hosts_.back()->server.stop();  // refuses connections
  }

  /// Runs until all calls have ended. False if that takes longer than `kMaxRunTime`.
  bool run() {
    const net::ScopedSystemCalls faults(*calls_);
    if (!turn_until([this] { return calls_made_ == kCalls && all_settled(); }, kMaxRunTime)) return false;
    turn_until([] { return false; }, kLateAnswerTime);
    return true;
  }
  /// True if a client that connects now gets an answer.
  bool serves_new_client() {
    const net::ScopedSystemCalls faults(*calls_);
    CallClient& client = connect_client();
    client.check();
    return turn_until([&] { return client.up() || client.closed(); }, kMaxCheckTime) && client.up();
  }

  const CallRecords& book() const { return book_; }
  const FaultyCalls::Counts& faults() const { return calls_->counts(); }
  std::size_t open_in_invoker() const { return dispatcher_.open_calls() + front_.open_calls(); }
  const core::Settings& settings() const { return settings_; }

 private:
  using Clients = std::list<std::shared_ptr<CallClient>>;
  core::Settings settings_ = settings_of_all_semantics();
  Random random_;
  net::Loop loop_;
  net::BufferPool buffers_{4096};
  TurnClock clock_;
  CallRecords book_;
  core::Counters counters_;
  std::unique_ptr<FaultyCalls> calls_;
  std::function<Moment()> now_ = [this] { return Moment{clock_.now(), calls_->polls()}; };
  std::vector<std::unique_ptr<RandomHost>> hosts_;
  hosts::ConnectionPool connection_pool_;
  core::Dispatcher dispatcher_;
  resp::Front front_;
  Clients clients_;
  std::size_t calls_made_ = 0;

  static hosts::Limits host_limits() {
    hosts::Limits limits;
    limits.report_fields = {"inflight", "util"};
    return limits;
  }
  void list_hosts() {
    core::MemberList list{true, {}};
    core::HostList entries{core::ListKind::full, {}};
    for (std::size_t i = 0; i < kHosts; ++i) {
      core::Member member;
      member.entry.worker = "h" + std::to_string(i);
      member.address = hosts_[i]->server.address();
      list.members.push_back(member);
      entries.entries.push_back(member.entry);
    }
    connection_pool_.members(list);
    dispatcher_.update_hosts(std::move(entries));
  }
  bool chance(std::size_t percent) { return below(random_, 100) < percent; }
  CallClient& connect_client() {
    clients_.push_back(calls_->without_faults(
        [this] { return std::make_shared<CallClient>(loop_, buffers_, book_, now_, front_.address()); }));
    return *clients_.back();
  }
  // Clients act between the reads and the writes of a turn, so that their requests are sent in the same turn.
  template <typename Until>
  bool turn_until(const Until& until, Millis most) {
    const Millis limit = clock_.now() + most;
    while (!until() && clock_.now() < limit) {
      clock_.next_turn();
      loop_.turn(std::min(dispatcher_.next_due(), loop_.now() + Millis(5)), [this] {
        dispatcher_.tick();
        if (calls_made_ < kCalls) run_clients();
      });
    }
    return until();
  }
  void run_clients() {
    clients_.remove_if([](const auto& client) { return client->closed(); });
    if (clients_.size() < kClients) connect_client();
    auto client = std::next(clients_.begin(), static_cast<std::ptrdiff_t>(below(random_, clients_.size())));
    if (!(*client)->open()) return;
    if (chance(60) && (*client)->open_calls() < 16) make_calls(**client);
    if ((*client)->open_calls() > 0 && chance(8)) (*client)->cancel(below(random_, (*client)->open_calls()));
    if (chance(2)) (*client)->disconnect();
  }
  void make_calls(CallClient& client) {
    for (std::size_t i = 1 + below(random_, 3); i > 0 && calls_made_ < kCalls; --i) {
      const auto& cls = settings_.classes[below(random_, settings_.classes.size())];
      CallRecord record;
      record.ref = net::hex16(++calls_made_);
      record.semantics = cls.semantics;
      record.timeout = kMinClientTimeout +
                       Millis(static_cast<double>(below(random_, std::size_t(kClientTimeoutSpread.count()))));
      const std::size_t size = chance(5) ? 16384 : below(random_, 2000);
      client.call(std::move(record), cls.name, std::string(size, 'c'));
    }
  }
  bool all_settled() const {
    const Millis grace = settings_.answer_grace + kSocketSlack + TurnClock::kMaxTurn;
    for (const auto& [ref, call] : book_.calls) {
      const bool over = !call.answers.empty() || call.abandoned || call.closed_by_invoker;
      if (!over && clock_.now() <= call.sent.at + call.timeout + grace) return false;
    }
    return true;
  }
};

std::string describe(const CallRecord& call, const std::string& what) { return call.ref + ": " + what; }

std::string to_ms_text(Millis span) { return std::to_string(span.count()) + " ms"; }

Violations calls_without_exactly_one_answer(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    if (call.answers.size() > 1) found.push_back(describe(call, "answered more than once"));
    if (call.abandoned || call.answers.size() == 1) continue;
    if (call.closed_by_invoker)
      found.push_back(describe(call, "its connection was closed without an answer"));
    if (!call.closed_by_invoker && call.answers.empty()) found.push_back(describe(call, "never answered"));
  }
  return found;
}

Violations late_answers(const CallRecords& book, Millis answer_grace) {
  Violations found;
  const Millis slack = answer_grace + kSocketSlack + TurnClock::kMaxTurn;
  for (const auto& [ref, call] : book.calls) {
    if (call.abandoned || call.answers.empty()) continue;
    const Millis late = call.answers[0].arrived.at - call.sent.at - call.timeout;
    if (late > slack) found.push_back(describe(call, "answered " + to_ms_text(late) + " after its deadline"));
  }
  return found;
}

// An answer sent before the invoker has read the cancellation is no violation.
Violations answers_after_cancellation(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    if (!call.abandoned || call.answers.empty()) continue;
    const Millis after = call.answers[0].arrived.at - call.abandoned->at;
    if (after > kMaxTimeAfterCancel)
      found.push_back(describe(call, "answered " + to_ms_text(after) + " after CANCEL"));
  }
  return found;
}

Violations served_bodies_from_no_host(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    for (const auto& answer : call.answers) {
      if (answer.words.size() < 2) {
        found.push_back(describe(call, "an answer with fewer than two words"));
      } else if (answer.words[1] == "OK" &&
                 (answer.words.size() != 4 || call.returned_bodies.count(answer.words[3]) == 0)) {
        found.push_back(describe(call, "served with a body that no host sent"));
      }
    }
  }
  return found;
}

Violations retries_after_possible_run(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    if (call.semantics != Semantics::once) continue;
    for (std::size_t i = 0; i + 1 < call.attempts.size(); ++i) {
      if (!call.attempts[i].never_ran()) {
        found.push_back(describe(call, "sent again, but attempt " + std::to_string(i) + " may have run"));
      }
    }
  }
  return found;
}

Violations refusals_after_possible_run(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    if (call.semantics != Semantics::once || call.answers.empty()) continue;
    const auto& words = call.answers[0].words;
    if (words.size() < 2 || words[1] != "BUSY") continue;
    for (const auto& attempt : call.attempts) {
      if (!attempt.never_ran()) found.push_back(describe(call, "refused, but an attempt may have run"));
    }
  }
  return found;
}

// A cancellation and the next attempt use different connections: hosts may read the cancellation later, by at
// most `kCrossingPolls` polls or `kCrossingTime`.
Violations overlapping_attempts(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    for (std::size_t i = 0; i + 1 < call.attempts.size(); ++i) {
      const auto& over = call.attempts[i].ended;
      const Moment& next = call.attempts[i + 1].arrived;
      const bool ended_in_time =
          over && (over->poll <= next.poll + kCrossingPolls || over->at <= next.at + kCrossingTime);
      if (!ended_in_time) {
        found.push_back(describe(call, "sent again while attempt " + std::to_string(i) + " was open"));
      }
    }
  }
  return found;
}

Violations calls_with_too_many_attempts(const CallRecords& book, int max_attempts) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    if (call.attempts.size() > static_cast<std::size_t>(max_attempts)) {
      found.push_back(describe(call, std::to_string(call.attempts.size()) + " attempts"));
    }
  }
  return found;
}

Violations attempts_after_cancellation(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    for (const auto& attempt : call.attempts) {
      if (!call.abandoned) continue;
      const Millis after = attempt.arrived.at - call.abandoned->at;
      if (after > kMaxTimeAfterCancel + TurnClock::kMaxTurn) {
        found.push_back(describe(call, "sent to a host " + to_ms_text(after) + " after its client left"));
      }
    }
  }
  return found;
}

// The attempt of a call whose client left must be ended: cancelled at the host, or its connection closed.
Violations attempts_kept_after_cancellation(const CallRecords& book) {
  Violations found;
  const Millis most = kMaxTimeAfterCancel + kSocketSlack + TurnClock::kMaxTurn;
  for (const auto& [ref, call] : book.calls) {
    for (const auto& attempt : call.attempts) {
      if (!call.abandoned || attempt.arrived.at > call.abandoned->at) continue;
      const bool is_over = attempt.ended && attempt.ended->at <= call.abandoned->at + most;
      if (!is_over) found.push_back(describe(call, "an attempt was kept after its client left"));
    }
  }
  return found;
}

Violations timeouts_longer_than_the_clients(const CallRecords& book) {
  Violations found;
  for (const auto& [ref, call] : book.calls) {
    for (const auto& attempt : call.attempts) {
      const Millis left = call.sent.at + call.timeout - attempt.arrived.at;
      if (attempt.timeout > left + kTimeoutSlack) {
        found.push_back(describe(call, "a host received a time-out of " + to_ms_text(attempt.timeout) +
                                           " with " + to_ms_text(left) + " left to the client"));
      }
    }
  }
  return found;
}

// The share of answers that are OK; 0 without answers.
double share_served(const CallRecords& book) {
  std::size_t answers = 0, served = 0;
  for (const auto& [ref, call] : book.calls) {
    for (const auto& answer : call.answers) {
      ++answers;
      served += answer.words.at(1) == "OK" ? 1 : 0;
    }
  }
  return answers == 0 ? 0 : static_cast<double>(served) / static_cast<double>(answers);
}

TEST_CASE("all rules hold for a few hundred calls while system calls fail at random",
          "[faults][random-faults]") {
  const auto seed = GENERATE(std::uint64_t{11}, std::uint64_t{1107}, std::uint64_t{90210});
  CAPTURE(seed);
  Session session(seed);
  REQUIRE(session.run());
  const CallRecords& book = session.book();
  const Violations none;
  CHECK(book.calls.size() == kCalls);
  CHECK(book.unmatched == none);
  CHECK(calls_without_exactly_one_answer(book) == none);
  CHECK(late_answers(book, session.settings().answer_grace) == none);
  CHECK(answers_after_cancellation(book) == none);
  CHECK(served_bodies_from_no_host(book) == none);
  CHECK(retries_after_possible_run(book) == none);
  CHECK(refusals_after_possible_run(book) == none);
  CHECK(overlapping_attempts(book) == none);
  CHECK(calls_with_too_many_attempts(book, session.settings().max_attempts) == none);
  CHECK(attempts_after_cancellation(book) == none);
  CHECK(attempts_kept_after_cancellation(book) == none);
  CHECK(timeouts_longer_than_the_clients(book) == none);
  CHECK(session.open_in_invoker() == 0);
  CHECK(session.serves_new_client());
  // Every kind of fault occurred, and calls were served despite them.
  const auto& faults = session.faults();
  CHECK((faults.accept > 0 && faults.socket > 0 && faults.connect > 0 && faults.poll > 0));
  CHECK((faults.interrupted > 0 && faults.cut_short > 0 && faults.broken > 0));
  CHECK(share_served(book) > 0.25);
}

}  // namespace
}  // namespace pathstack::test

#include "hosts/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pathstack::hosts {

using core::Outcome;
using core::WorkerState;

namespace {

// A local fault is reported so late that a lasting one costs a call some tens of tries, not thousands.
constexpr Millis kMinBackoff{4}, kMaxBackoff{64};

}  // namespace

Fleet::Fleet(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, Limits limits)
    : loop_(loop), pool_(pool), counters_(counters), limits_(std::move(limits)) {
  // Where a connection carries few calls, a fixed number of them would keep a host's slots empty.
  limits_.links_a_host = std::max(limits_.links_a_host, limits_.calls_a_host / limits_.attempts_a_link);
}
Fleet::~Fleet() = default;

void Fleet::members(const core::MemberList& list) {
  std::set<std::string> named;
  for (const auto& member : list.members) {
    named.insert(member.entry.worker);
    take_member(member);
  }
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    Host& host = i->second;
    if (list.complete && named.count(i->first) == 0) {
      host.member.entry.state = WorkerState::gone;
      for (const auto& link : host.links) link->drain();
    }
    // Hosts that are gone are forgotten with their last connection, or every deploy would leave some behind.
    const bool forgotten = host.member.entry.state == WorkerState::gone && host.links.empty();
    if (forgotten) index_address(i->first, host.member.address, {});
    i = forgotten ? hosts_.erase(i) : std::next(i);
  }
}

void Fleet::take_member(const core::Member& member) {
  const std::string& id = member.entry.worker;
  Host& host = hosts_[id];
  const bool known = !host.member.entry.worker.empty();
  // Stamps come from the host's wall clock, which may be stepped back: any change is a restart. Zero tells
  // nothing: entries of hosts that drain or are gone need not have a stamp.
  const Millis stamp_before = host.member.entry.started;
  const bool stamped = member.entry.started.count() != 0;
  const bool restarted =
      known && (member.address != host.member.address || (stamped && member.entry.started != stamp_before));
  if (restarted) {
    for (const auto& link : host.links) link->replace();
  }
  if (member.address != host.member.address) index_address(id, host.member.address, member.address);
  host.member = member;
  if (!stamped) host.member.entry.started = stamp_before;
  if (member.entry.state != WorkerState::ready) {
    for (const auto& link : host.links) link->drain();
    return;
  }
  // A new host may stand at the address of one that is gone, and be taken for it.
  const auto [first, last] = ids_by_address_.equal_range(member.address);
  for (auto other = first; other != last; ++other) {
    if (other->second == id) continue;
    for (const auto& link : hosts_.at(other->second).links) link->replace();
  }
}

// An empty address is not kept.
void Fleet::index_address(const std::string& id, const std::string& before, const std::string& now) {
  const auto [first, last] = ids_by_address_.equal_range(before);
  const auto found = std::find_if(first, last, [&](const auto& entry) { return entry.second == id; });
  if (found != last) ids_by_address_.erase(found);
  if (!now.empty()) ids_by_address_.emplace(now, id);
}

Fleet::Host* Fleet::ready_host(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found != hosts_.end() && found->second.member.entry.state == WorkerState::ready) return &found->second;
  counters_.add(core::Counter::guard_host_not_ready);
  return nullptr;
}

Fleet::LinkChoice Fleet::link_for(Host& host, const std::string& ref) {
  Link* best = nullptr;
  std::size_t counted = 0;
  for (const auto& link : host.links) {
    counted += link->counts_for_host() ? 1 : 0;
    if (!link->accepts(ref)) continue;
    if (best == nullptr || link->load() < best->load()) best = link.get();
  }
  if (best != nullptr) return {best};
  // With more hosts than links may be up, those to hosts used a while ago would keep out all others.
  if (counted >= limits_.links_a_host || (links_ >= limits_.links && !close_idle_link())) {
    counters_.add(core::Counter::hosts_no_link);
    return {nullptr, Outcome::not_sent};
  }
  net::ConnectResult connection = net::begin_connect(host.member.address);
  if (connection.fault != net::ConnectFault::none) {
    const bool local = connection.fault == net::ConnectFault::local;
    counters_.add(local ? core::Counter::hosts_connect_local_faults : core::Counter::hosts_connect_failed);
    return {nullptr, local ? Outcome::not_sent : Outcome::connect_failed};
  }
  counters_.add(core::Counter::hosts_links_opened);
  backoff_ = Millis(0);
  ++links_;
  LinkObserver& observer = *this;
  host.links.push_back(std::make_shared<Link>(loop_, pool_, counters_, limits_, observer,
                                              host.member.entry.worker, std::move(connection.socket)));
  return {host.links.back().get()};
}

Fleet::LinkChoice Fleet::link_to_ready(const std::string& id, const std::string& ref) {
  Host* host = ready_host(id);
  return host == nullptr ? LinkChoice{} : link_for(*host, ref);
}

// Ends the one longest unused; false if none is idle.
bool Fleet::close_idle_link() {
  std::shared_ptr<Link> oldest;
  for (const auto& [id, host] : hosts_) {
    for (const auto& link : host.links) {
      if (link->idle() && (!oldest || link->last_used() < oldest->last_used())) oldest = link;
    }
  }
  if (!oldest) return false;
  counters_.add(core::Counter::hosts_idle_ended);
  oldest->end_later();
  oldest->flush();  // at once: its descriptor is needed
  return true;
}

// Doubles while no connection can be begun, once for all the faults that fall into one wait.
Millis Fleet::next_backoff() {
  const Millis now = loop_.now();
  if (backoff_.count() == 0 || now >= backoff_end_) {
    backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
    backoff_end_ = now + backoff_;
  }
  return backoff_;
}

// The host's failure is reported at once; a local fault after a backoff, but well within `timeout`: past that
// the attempt would be taken for one that its host has kept waiting.
void Fleet::later(Outcome failure, Millis timeout, std::function<void()> notify) {
  const Millis wait = failure == Outcome::not_sent ? std::min(next_backoff(), timeout / 2) : Millis(0);
  loop_.at(loop_.now() + wait, std::move(notify));
}

void Fleet::exec(const core::Attempt& attempt, const std::string& id, const core::Call& call,
                 Millis timeout) {
  const auto [link, failure] = link_to_ready(id, call.ref);
  if (link == nullptr) {
    const auto report = [this, attempt, outcome = failure] {
      dispatcher_->attempt_ended(attempt, {outcome, 0, std::nullopt, {}});
    };
    return later(failure, timeout, report);
  }
  attempts_[attempt] = link;
  link->exec(attempt, call, timeout);
}

bool Fleet::drop(const core::Attempt& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return false;
  Link* link = found->second;
  attempts_.erase(found);
  return link->drop(attempt);
}

void Fleet::probe(const std::string& id) {
  const auto [link, failure] = link_to_ready(id, {});
  if (link != nullptr) {
    counters_.add(core::Counter::hosts_probes);
    return link->probe("p" + std::to_string(++last_tag_));
  }
  later(failure, limits_.order_timeout, [this, id, outcome = failure] {
    dispatcher_->probe_ended({id, outcome, Millis(0), std::nullopt});
  });
}

void Fleet::ensure(const std::string& id, std::uint64_t function, int instances) {
  const auto [link, failure] = link_to_ready(id, {});
  if (link != nullptr) { return link->order_load("t" + std::to_string(++last_tag_), function, instances); }
  later(failure, limits_.order_timeout, [this, id, function, outcome = failure] {
    dispatcher_->load_ended({id, function, outcome, Millis(0), 0});
  });
}

void Fleet::release(const std::string& id, std::uint64_t function) {
  if (Link* link = link_to_ready(id, {}).link) link->unload(function);
}

void Fleet::on_attempt_ended(const core::Attempt& attempt, core::AttemptEnd&& end) {
  attempts_.erase(attempt);
  dispatcher_->attempt_ended(attempt, std::move(end));
}

void Fleet::on_load_ended(core::LoadOutcome&& end) { dispatcher_->load_ended(std::move(end)); }

void Fleet::on_probe_ended(core::ProbeOutcome&& end) { dispatcher_->probe_ended(std::move(end)); }

bool Fleet::take_load_budget() { return dispatcher_->take_load_budget(); }

void Fleet::on_link_closed(Link& link) {
  --links_;
  counters_.add(core::Counter::hosts_links_ended);
  for (auto i = attempts_.begin(); i != attempts_.end();) {
    i = i->second == &link ? attempts_.erase(i) : std::next(i);
  }
  auto& links = hosts_.at(link.host()).links;
  const auto found =
      std::find_if(links.begin(), links.end(), [&](const auto& other) { return other.get() == &link; });
  loop_.defer_destruction(*found);
  links.erase(found);
}

}  // namespace pathstack::hosts

#include "policy/engine.h"

#include <algorithm>

#include "policy/gossip.h"

namespace pathstack::policy {
namespace {

constexpr Millis kListRetryDelay{1000};  // after a worker list could not be fetched
// Token of the sweep timer. Tokens of deadline timers are serial numbers of requests, which start at 1.
constexpr std::uint64_t kSweepTimer = 0;

Settings with_valid_invoker_count(Settings settings) {
  settings.invokers = std::max(settings.invokers, 1);
  return settings;
}

}  // namespace

Engine::Engine(const Settings& settings, ActionSink& actions)
    : settings_(with_valid_invoker_count(settings)),
      actions_(actions),
      random_(settings.seed),
      workers_(settings_),
      lease_(settings_, workers_, actions),
      times_(settings_),
      functions_(settings_, times_),
      outliers_(settings_, workers_, lease_, times_, functions_, actions),
      slow_start_(settings_, workers_, outliers_, random_, actions),
      reports_(settings_, workers_, slow_start_, actions),
      limits_(settings_, workers_, reports_, random_),
      placement_(settings_, workers_, times_, reports_),
      order_budget_(settings_),
      renewal_(settings_, workers_, lease_, functions_, times_, outliers_, order_budget_, actions),
      admission_(settings_, requests_, times_, limits_),
      retries_(settings_, workers_, requests_, times_, outliers_, slow_start_, limits_, admission_, random_,
               actions),
      selector_(settings_, functions_, times_, outliers_, slow_start_, limits_, admission_, retries_,
                placement_),
      scheduler_(settings_, workers_, lease_, renewal_, functions_, requests_, times_, slow_start_,
                 admission_, retries_, selector_, order_budget_, actions),
      shedder_(functions_, requests_, times_, outliers_, limits_, admission_, retries_),
      outcomes_(settings_, workers_, lease_, functions_, requests_, times_, outliers_, slow_start_, reports_,
                limits_, order_budget_, retries_, actions) {
  if (settings_.requests_list) actions_.emit(action::RequestList{true});
  actions_.emit(action::SetTimer{kSweepInterval, kSweepTimer});
}

void Engine::on(const event::WorkerList& list, Millis now) {
  if (list.kind == ListKind::failed) {
    list_retry_at_ = now + kListRetryDelay;
    return;
  }
  for (const WorkerChange& change : workers_.apply(list, now)) apply_change(change);
  scheduler_.schedule_all(now);
}

void Engine::on(const event::ListLease& lease, Millis now) {
  const bool was_current = lease_.is_list_current(now);
  lease_.set_list_lease(lease);
  renewal_.update(now);
  if (!was_current && lease_.is_list_current(now)) scheduler_.schedule_all(now);
}

void Engine::on(const event::ConnectionsLost& lost, Millis now) {
  const Worker* worker = workers_.find(lost.worker);
  if (worker != nullptr) outcomes_.record_connections_lost(worker->index, now);
}

void Engine::apply_change(const WorkerChange& change) {
  switch (change.kind) {
    case WorkerChange::Kind::added: return reset_worker(change.worker);
    case WorkerChange::Kind::restarted:
      outliers_.restarted(change.worker);
      slow_start_.restarted(change.worker);
      return functions_.clear_instances(change.worker);
    case WorkerChange::Kind::left: return functions_.clear_instances(change.worker);
  }
}

void Engine::reset_worker(WorkerIndex worker) {
  lease_.reset(worker);
  renewal_.reset(worker);
  outliers_.reset(worker);
  slow_start_.reset(worker);
  reports_.reset(worker);
  limits_.reset(worker);
}

int Engine::class_index_of(const std::string& name) const {
  int index = -1;
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    if (settings_.classes[i].name == name) index = static_cast<int>(i);
  }
  return index;
}

void Engine::on(const event::Request& event, Millis now) {
  if (requests_.contains(event.id)) return;
  order_budget_.request_arrived(now);
  reports_.request_arrived(now);
  renewal_.request_arrived(now);
  const int class_index = class_index_of(event.class_name);
  Function& function = functions_.request_arrived(event, class_index, now);
  functions_.expect_candidates(function, static_cast<std::size_t>(workers_.ready_count()));
  Request& request = requests_.create(event.id, class_index, function);
  request.arrived_at = now;
  request.deadline = now + event.expires_in;
  request.objective_at = retries_.objective_at(class_index, event.expires_in, now);
  const Millis give_up_delay = request.deadline - settings_.tick - now;
  if (give_up_delay.count() <= 0) return retries_.give_up(request, now);
  actions_.emit(action::SetTimer{give_up_delay, request.serial});
  requests_.enqueue(request, QueueEnd::back);
  scheduler_.schedule(function, now);
}

void Engine::on(const event::AttemptEnded& answer, Millis now) {
  Request* request = requests_.find(answer.id);
  if (request == nullptr) return;
  const Attempt* attempt = requests_.end_attempt(*request, answer.attempt, answer.outcome);
  if (attempt == nullptr) return;
  Function& function = *request->function;
  const WorkerIndex worker = attempt->worker;
  outcomes_.record_attempt(*request, *attempt, answer, now);
  renewal_.update(now);
  if (answer.request_finished || request->done) {
    requests_.finish(*request);
  } else if (!request->has_attempt_in_flight() && !request->streaming) {
    retries_.retry_or_give_up(*request, now);
  }
  scheduler_.attempt_ended(function, worker, now);
}

void Engine::on(const event::StreamStarted& event, Millis) {
  Request* request = requests_.find(event.id);
  if (request != nullptr) request->streaming = true;
}

// Cancels the attempts in flight: clients with short timeouts leave and retry, and workers would still serve
// their abandoned attempts.
void Engine::on(const event::RequestAbandoned& event, Millis) {
  Request* request = requests_.find(event.id);
  if (request == nullptr) return;
  const bool cancels = settings_.cancel && !request->streaming;
  for (std::size_t i = 0; cancels && i < request->attempts.size(); ++i) {
    const bool is_out = request->attempts[i].state == AttemptState::in_flight;
    if (is_out) actions_.emit(action::Cancel{event.id, static_cast<int>(i)});
  }
  requests_.finish(*request);
}

void Engine::on(const event::LoadEnded& order, Millis now) {
  Function* function = functions_.find(order.function);
  const Worker* worker = workers_.find(order.worker);
  if (function == nullptr || worker == nullptr) return;
  outcomes_.record_order(*function, worker->index, order, now);
  renewal_.order_ended(worker->index, order, now);
  scheduler_.schedule(*function, now);
}

void Engine::on(const event::ProbeEnded& probe, Millis now) {
  const Worker* worker = workers_.find(probe.worker);
  if (worker == nullptr) return;
  outcomes_.record_probe(worker->index, probe, now);
  // Requests that waited for this probe can now be sent to its worker or to another one.
  if (!lease_.is_list_current(now)) scheduler_.schedule_all(now);
}

void Engine::on(const event::PeerMessage& event, Millis now) {
  for (const GossipRecord& record : parse_gossip(event.text)) {
    if (record.kind == GossipRecord::Kind::own_requests) {
      reports_.record_peer_requests(record.value);
      continue;
    }
    const auto worker = workers_.find_by_tag(record.tag);
    if (!worker) continue;
    if (record.kind == GossipRecord::Kind::worker_down) {
      outliers_.peer_reported_down(*worker, now);
      continue;
    }
    reports_.record_gossip(*worker, record.value, now);
    outcomes_.note_alive(*worker, now);
  }
}

void Engine::on(const event::Timer& timer, Millis now) {
  if (timer.token == kSweepTimer) return sweep(now);
  if (timer.token == kRenewalTimer) {
    renewal_.update(now);
    return scheduler_.schedule_all(now);
  }
  Request* request = requests_.find(timer.token);
  if (request == nullptr || request->done || request->streaming) return;
  if (now + 2 * settings_.tick >= request->deadline) retries_.give_up(*request, now);
}

void Engine::sweep(Millis now) {
  actions_.emit(action::SetTimer{kSweepInterval, kSweepTimer});
  if (settings_.requests_list && list_retry_at_ > kNever && now >= list_retry_at_) {
    list_retry_at_ = kNever;
    actions_.emit(action::RequestList{true});
  }
  functions_.expire(now);
  outcomes_.handle_unanswered(now);
  outliers_.repeat_probes(now);
  reports_.exchange(now);
  renewal_.update(now);
  scheduler_.schedule_all(now);
  for (const auto& function : functions_.all()) shedder_.shed(*function, now);
  prune(now);
}

void Engine::prune(Millis now) {
  for (const WorkerIndex worker : workers_.prune(now)) {
    functions_.clear_instances(worker);
    reset_worker(worker);
  }
  functions_.prune(now);
}

void Engine::add_counters(std::map<std::string, double>& counters, Millis now) const {
  if (retries_.given_up_after_attempt() > 0) {
    counters["gave_up_after_attempt"] = retries_.given_up_after_attempt();
  }
  counters["lease.asked"] = static_cast<double>(lease_.probes_sent());
  counters["lease.renewed"] = static_cast<double>(renewal_.orders_sent());
  counters["lease.not_well"] = static_cast<double>(lease_.unhealthy_answers());
  counters["now.list_stale"] = lease_.is_list_current(now) ? 0 : 1;
  counters["now.kept"] = static_cast<double>(renewal_.kept_count());
  counters["now.withheld"] = static_cast<double>(lease_.withheld_count(now));
  for (std::size_t i = 0; i < kShedReasonCount; ++i) {
    const auto reason = static_cast<ShedReason>(i);
    if (shedder_.count(reason) > 0) {
      counters[std::string("shed.") + log_name(reason)] = shedder_.count(reason);
    }
  }
  for (const Worker& worker : workers_.all()) {
    if (worker.state != WorkerState::ready) continue;
    counters["now.workers"] += 1;
    counters["now.unusable"] += outliers_.is_usable(worker.index, now) ? 0 : 1;
    counters["now.sum_limit"] += limits_.limit(worker.index);
    counters["now.sum_stretch"] += limits_.slowdown(worker.index, now);
    counters["now.inflight"] += worker.in_flight;
  }
  for (const auto& function : functions_.all()) {
    counters["now.held"] += static_cast<double>(function->queue.size());
  }
  counters["now.run_ms"] = times_.mean_run();
  counters["now.load_ms"] = times_.mean_load();
}

}  // namespace pathstack::policy

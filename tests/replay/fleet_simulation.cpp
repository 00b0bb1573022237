#include "fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pathstack::policy::replay {
namespace {

// Times are in microseconds.
constexpr std::int64_t kMillisecond = 1000;
constexpr std::int64_t kTick = 2 * kMillisecond;
constexpr std::int64_t kStartTime = 7'000'000 * kMillisecond;  // arbitrary; clocks need not start at 0
constexpr std::int64_t kNetworkDelay = 300;                    // one way
constexpr std::int64_t kConnectTimeout = 250 * kMillisecond;
constexpr std::int64_t kLoadTime = 120 * kMillisecond;
constexpr std::int64_t kOrderTimeout = 3000 * kMillisecond;
constexpr std::int64_t kDefaultDeadline = 2000 * kMillisecond;
constexpr std::int64_t kNoAnswer = 3'600'000 * kMillisecond;
constexpr std::uint64_t kFirstFunctionId = 534'015'773'185ULL;
constexpr int kCatalogPages = 16;
constexpr int kFailedList = 3;
constexpr int kFullList = 4;
constexpr int kMaxFunctionsPerWorker = 24;  // further loads evict an instance

double to_millis(std::int64_t micros) { return static_cast<double>(micros) / 1000.0; }
std::int64_t to_micros(double millis) { return std::llround(millis * 1000.0); }

std::size_t as_index(int index) { return static_cast<std::size_t>(index); }

}  // namespace

FleetSimulation::FleetSimulation(const DayPlan& plan)
    : plan_(plan), random_(plan.seed), now_(kStartTime), invokers_(as_index(plan.invokers)) {}

Summary FleetSimulation::run(const Observer& observer) {
  Summary summary;
  start_fleet();
  const Micros end = kStartTime + plan_.length_ms * kMillisecond;
  for (; now_ < end; now_ += kTick) {
    while (!pending_.empty() && pending_.begin()->first <= now_) {
      const std::function<void()> step = std::move(pending_.begin()->second);
      pending_.erase(pending_.begin());
      step();
    }
    generate_requests();
    run_round(summary, observer);
  }
  return summary;
}

void FleetSimulation::run_round(Summary& summary, const Observer& observer) {
  Json groups = Json::array();
  for (std::size_t i = 0; i < invokers_.size(); ++i) {
    if (invokers_[i].inbox.empty()) continue;
    groups.push_back({{"Router", "router_" + std::to_string(i)}, {"inbox", invokers_[i].inbox}});
    invokers_[i].inbox = Json::array();
  }
  if (groups.empty()) return;
  const std::string round =
      Json{{"Time", to_millis(now_)}, {"n", ++round_}, {"routers", std::move(groups)}}.dump();
  const std::string line = adapter_.handle_batch(round);
  const Json reply = Json::parse(line);
  summary.add_reply(line, reply);
  if (observer) observer(round, line);
  for (const auto& group : reply.at("routers")) {
    const int invoker = std::stoi(group.at("Router").get<std::string>().substr(7));
    for (const auto& command : group.at("cmds")) execute(invoker, command);
  }
}

void FleetSimulation::deliver(int invoker, Json message) {
  Invoker& to = invokers_[as_index(invoker)];
  if (to.running) to.inbox.push_back(std::move(message));
}

void FleetSimulation::deliver_later(int invoker, Micros after, Json message) {
  const int incarnation = invokers_[as_index(invoker)].incarnation;
  schedule(after, [this, invoker, incarnation, message = std::move(message)]() mutable {
    if (invokers_[as_index(invoker)].incarnation == incarnation) deliver(invoker, std::move(message));
  });
}

// ---- Invokers ------------------------------------------------------------------------------------------
void FleetSimulation::start_fleet() {
  for (int i = 0; i < plan_.workers; ++i) add_worker();
  if (plan_.has_failing_worker) workers_.front().error_share = 1000;
  for (int i = 0; i < plan_.invokers; ++i) {
    invokers_[as_index(i)].list_delay = random_.between(5, 400) * kMillisecond;
    start_invoker(i);
  }
  if (plan_.fault_interval_ms > 0) {
    for (Micros at = plan_.fault_interval_ms; at < plan_.length_ms; at += plan_.fault_interval_ms)
      schedule(at * kMillisecond, [this] { inject_worker_fault(); });
  }
  if (plan_.invoker_restart_interval_ms > 0) {
    for (Micros at = plan_.invoker_restart_interval_ms; at < plan_.length_ms;
         at += plan_.invoker_restart_interval_ms)
      schedule(at * kMillisecond, [this] { restart_random_invoker(); });
  }
}

void FleetSimulation::start_invoker(int index) {
  Invoker& invoker = invokers_[as_index(index)];
  invoker.running = true;
  invoker.subscribed = false;
  ++invoker.incarnation;
  Json settings = plan_.settings;
  settings["Rank"] = index;
  settings["Az"] = index % 2 == 0 ? "hall-a" : "hall-b";
  deliver(index, {"Init", random_.below(1'000'000'000), std::move(settings)});
  deliver_full_list(index, static_cast<int>(ListKind::cached) + 1);
}

void FleetSimulation::stop_invoker(int index) {
  deliver(index, Json::array({"PowerOff"}));
  invokers_[as_index(index)].running = false;
  for (auto& [id, request] : requests_)
    if (request.invoker == index) request.finished = true;
}

void FleetSimulation::restart_random_invoker() {
  const int index = static_cast<int>(random_.below(plan_.invokers));
  if (!invokers_[as_index(index)].running) return;
  stop_invoker(index);
  schedule(random_.below(300) * kMillisecond, [this, index] { start_invoker(index); });
}

// ---- Workers and their list ----------------------------------------------------------------------------
void FleetSimulation::add_worker() {
  Worker worker;
  const int number = next_worker_++;
  worker.id = "10.18." + std::to_string(random_.below(250)) + "." + std::to_string(number) + ":8003";
  worker.zone = number % 2 == 0 ? "hall-a" : "hall-b";
  worker.kind = number % 3 == 0 ? "large" : "small";
  worker.cell = number % 4;
  worker.started = now_ > kStartTime ? now_ : 0;
  worker_index_[worker.id] = static_cast<int>(workers_.size());
  workers_.push_back(std::move(worker));
}

FleetSimulation::Json FleetSimulation::entry(const Worker& worker) const {
  const double nominal = worker.kind == "large" ? 2.0 : 1.0;
  const double weight = worker.cell == 3 && plan_.stray_message_share > 0 ? 0.0 : nominal;
  const Json started = worker.started > 0 ? Json(to_millis(worker.started)) : Json();
  return {worker.id, worker.cell, weight, worker.kind, worker.availability, started, worker.zone};
}

void FleetSimulation::deliver_list(int invoker, int kind, const Json& entries) {
  const int page = next_page_++ % kCatalogPages;
  deliver(invoker, {"Catalog", page, entries});
  deliver(invoker, {"Discovery", ++list_generation_, kind, page});
}

void FleetSimulation::deliver_full_list(int invoker, int kind) {
  Json entries = Json::array();
  for (const auto& worker : workers_)
    if (worker.availability > 0) entries.push_back(entry(worker));
  deliver_list(invoker, kind, entries);
}

void FleetSimulation::announce_worker(int index) {
  const bool ask = plan_.settings.at("RegistryMode") == "ask";
  const Json entries = Json::array({entry(workers_[as_index(index)])});
  for (int i = 0; i < plan_.invokers; ++i) {
    Invoker& invoker = invokers_[as_index(i)];
    if (ask && !invoker.subscribed) continue;
    const int incarnation = invoker.incarnation;
    schedule(invoker.list_delay, [this, i, incarnation, entries] {
      if (invokers_[as_index(i)].incarnation == incarnation) deliver_list(i, 1, entries);
    });
    if (ask && random_.permille(plan_.discovery_failure_share / 4)) {
      invoker.subscribed = false;
      deliver_later(i, invoker.list_delay, {"Discovery", 0, kFailedList, 0});
    }
  }
}

void FleetSimulation::inject_worker_fault() {
  const int index = static_cast<int>(random_.below(static_cast<std::int64_t>(workers_.size())));
  Worker& worker = workers_[as_index(index)];
  if (worker.availability != 2) return;
  const Micros span = random_.between(300, 2500) * kMillisecond;
  switch (random_.below(7)) {
    case 0: return drain_worker(index);
    case 1: worker.silent_until = now_ + span; return;
    case 2:
      worker.slow_factor = static_cast<int>(random_.between(3, 12));
      schedule(span, [this, index] { workers_[as_index(index)].slow_factor = 1; });
      return;
    case 3:
      if (plan_.has_failing_worker && index == 0) return;
      worker.error_share = 700;
      schedule(span, [this, index] { workers_[as_index(index)].error_share = 0; });
      return;
    case 4: return restart_worker(index);
    case 5:  // a restart that the worker list does not report
      worker.down_until = now_ + span;
      worker.instances.clear();
      return;
    default: worker.instances.clear(); return;
  }
}

void FleetSimulation::restart_worker(int index) {
  Worker& worker = workers_[as_index(index)];
  const Micros down = random_.between(50, 800) * kMillisecond;
  worker.down_until = now_ + down;
  worker.instances.clear();
  schedule(down, [this, index] {
    workers_[as_index(index)].started = now_;
    announce_worker(index);
  });
}

void FleetSimulation::drain_worker(int index) {
  workers_[as_index(index)].availability = 1;
  announce_worker(index);
  schedule(random_.between(400, 1500) * kMillisecond, [this, index] {
    workers_[as_index(index)].availability = 0;
    workers_[as_index(index)].down_until = now_ + 1'000'000 * kMillisecond;
    announce_worker(index);
    add_worker();
    announce_worker(static_cast<int>(workers_.size()) - 1);
    const int whole_list_to = static_cast<int>(random_.below(plan_.invokers));
    schedule(500 * kMillisecond, [this, whole_list_to] { deliver_full_list(whole_list_to, kFullList); });
  });
}

// ---- Clients -------------------------------------------------------------------------------------------
void FleetSimulation::generate_requests() {
  if (now_ >= kStartTime + plan_.traffic_until_ms * kMillisecond) return;
  const std::int64_t per_million_of_tick = plan_.requests_per_second * kTick;  // requests per tick, times 1e6
  std::int64_t arrivals = per_million_of_tick / 1'000'000;
  if (random_.below(1'000'000) < per_million_of_tick % 1'000'000) ++arrivals;
  for (; arrivals > 0; --arrivals) {
    const auto popular = std::min(random_.below(plan_.functions), random_.below(plan_.functions));
    const std::int64_t number = plan_.every_function_once ? next_request_ : popular;
    const Micros expires_in = random_.permille(plan_.short_deadline_share) ? random_.below(4) * kMillisecond
                              : random_.permille(150) ? random_.between(20, 1500) * kMillisecond
                                                      : kDefaultDeadline;
    const auto busy_half = random_.permille(500) ? plan_.invokers : (plan_.invokers + 1) / 2;
    const int invoker = static_cast<int>(random_.below(busy_half));
    add_request(invoker, kFirstFunctionId + static_cast<std::uint64_t>(number), expires_in, false);
  }
}

void FleetSimulation::add_request(int invoker, std::uint64_t function, Micros expires_in, bool retry) {
  if (!invokers_[as_index(invoker)].running) return;
  const std::string id = "t/" + std::to_string(next_request_++);
  Request& added = requests_[id];
  added.invoker = invoker;
  added.incarnation = invokers_[as_index(invoker)].incarnation;
  const auto& classes = plan_.settings.at("Classes");
  added.class_index = static_cast<int>(function % classes.size());
  added.function = function;
  added.deadline = now_ + expires_in;
  const bool hinted = function % 3 == 0;
  Json load_hint;
  if (function % 4 != 0) load_hint = to_millis(kLoadTime);
  const int slots = 1 + static_cast<int>(function % 5);
  const int bits = (hinted ? 1 : 0) + (retry ? 2 : 0) + (function % 7 == 0 ? 4 : 0);
  const Json& listed_class = classes.at(as_index(added.class_index)).at("Name");
  const Json class_name = random_.permille(plan_.stray_message_share / 2) ? Json("unlisted") : listed_class;
  Json message = {
      "Order", id, class_name, 12.0, "gold", bits, 384, function, load_hint, to_millis(expires_in), slots};
  if (random_.permille(plan_.stray_message_share)) send_stray_message(invoker, id);
  deliver(invoker, message);
  if (random_.permille(plan_.stray_message_share / 4))
    deliver(invoker, std::move(message));  // a duplicate, to be ignored
  if (random_.permille(plan_.abandoned_request_share))
    schedule(random_.between(1, 300) * kMillisecond, [this, id] { abandon_request(id); });
  schedule(expires_in + 20 * kMillisecond, [this, id] { abandon_request(id); });
}

void FleetSimulation::abandon_request(const std::string& id) {
  Request& request = requests_.at(id);
  if (request.finished || request.streaming) return;
  request.finished = true;
  if (invokers_[as_index(request.invoker)].incarnation == request.incarnation)
    deliver(request.invoker, {"Gone", id});
}

void FleetSimulation::retry_request(const Request& ended) {
  const Micros left = ended.deadline - now_;
  if (left < 50 * kMillisecond || !random_.permille(600)) return;
  const int invoker = static_cast<int>(random_.below(plan_.invokers));
  const std::uint64_t function = ended.function;
  const Micros pause = random_.between(2, 40) * kMillisecond;
  schedule(pause,
           [this, invoker, function, left, pause] { add_request(invoker, function, left - pause, true); });
}

// Sends a valid message that is late, unknown or refers to something unknown. It does not change the state of
// the simulation.
void FleetSimulation::send_stray_message(int invoker, const std::string& id) {
  switch (random_.below(10)) {
    case 0: return deliver(invoker, {"Novelty", 1, "x"});
    case 1: return deliver(invoker, {"Ring", 1'000'000'000'000});
    case 2: return deliver(invoker, {"Gone", id + "-unknown"});
    case 3:
      return deliver(invoker,
                     {"Result", id + "-unknown", nullptr, "GOOD", true, 1.5, 0, "10.0.0.1:1", nullptr});
    case 4: return deliver(invoker, {"BroughtUp", "10.0.0.1:1", kFirstFunctionId, "GOOD", 12.5, 1});
    case 5: return deliver(invoker, {"BroughtUp", workers_.front().id, 77, "GOOD", 12.5, 1});
    case 6: return deliver(invoker, {"Sampled", "GOOD", 1.25, "10.0.0.1:1", nullptr});
    case 7: return deliver(invoker, {"Heard", 1, "odd text of a peer"});
    case 8:
      return deliver(invoker,
                     {"Order", id + "-odd", "no such class", nullptr, nullptr, 0, 1, 5, nullptr, 400.0, 1});
    default: return deliver(invoker, {"HeadReceived", id + "-unknown", 0, "10.0.0.1:1", 1.0});
  }
}

// ---- Actions -------------------------------------------------------------------------------------------
void FleetSimulation::execute(int invoker, const Json& command) {
  const std::string& name = command.at(0).get_ref<const std::string&>();
  if (name == "Assign") return assign(invoker, command);
  if (name == "Recall") return cancel_attempt(command);
  if (name == "OverloadReply") return end_request(command, true);
  if (name == "EndFailed") return end_request(command, false);
  if (name == "Load") return load(invoker, command);
  if (name == "Touch") return probe(invoker, command);
  if (name == "Publish") return publish(invoker, command);
  if (name == "Subscribe") return subscribe(invoker, command.at(1).get<bool>());
  if (name == "Timer") return set_timer(invoker, command);
}

void FleetSimulation::assign(int, const Json& command) {
  const std::string id = command.at(1);
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;  // a stray request: not simulated
  Request& request = found->second;
  const int index = worker_index_.at(command.at(2).get<std::string>());
  const int attempt = static_cast<int>(request.attempts.size());
  request.attempts.push_back({index, now_, false});
  const Micros asked = to_micros(command.at(3).get<double>());
  const Micros left = std::max<Micros>(request.deadline - now_, 0);
  const Micros timeout = asked > 0 ? std::min(asked, left) : left;
  Worker& worker = workers_[as_index(index)];
  const AttemptResult result =
      request.finished ? AttemptResult{"NOP", 0, 0} : attempt_result(worker, request, timeout);
  ++worker.in_flight;
  const bool stream = plan_.settings.at("Classes").at(as_index(request.class_index)).at("Stream").get<bool>();
  if (stream && result.status == "GOOD" && result.after > 4 * kMillisecond)
    schedule(result.after / 2, [this, id, attempt] { begin_stream(id, attempt); });
  schedule(result.after, [this, id, attempt, result] { finish_attempt(id, attempt, result); });
}

FleetSimulation::AttemptResult FleetSimulation::attempt_result(Worker& worker, const Request& request,
                                                               Micros timeout) {
  const AttemptResult result = result_without_timeout(worker, request);
  return result.after > timeout ? AttemptResult{"LATE", timeout, 0} : result;
}

FleetSimulation::AttemptResult FleetSimulation::result_without_timeout(Worker& worker,
                                                                       const Request& request) {
  if (worker.down_until > now_) {
    if (random_.permille(300)) return {"RST", 2 * kNetworkDelay, 0};
    return {"NOCONN", random_.permille(500) ? 2 * kNetworkDelay : kConnectTimeout, 0};
  }
  if (worker.silent_until > now_) return {"LATE", kNoAnswer, 0};
  if (worker.availability != 2 || worker.in_flight >= plan_.worker_slots)
    return {"FULL", 2 * kNetworkDelay, 0};
  if (random_.permille(plan_.error_share + worker.error_share))
    return {"BAD", 2 * kNetworkDelay + random_.below(20) * kMillisecond, 0};
  if (random_.permille(plan_.reset_share))
    return {"RST", 2 * kNetworkDelay + random_.below(20) * kMillisecond, 0};
  if (random_.permille(plan_.lost_answer_share)) return {"LATE", kNoAnswer, 0};
  return run_request(worker, request);
}

FleetSimulation::AttemptResult FleetSimulation::run_request(Worker& worker, const Request& request) {
  const auto& family = plan_.settings.at("FamilyInfo");
  const auto number = static_cast<std::int64_t>(request.function % 17);
  const Micros usual = (4 + 2 * number) * kMillisecond + random_.below(2000);
  const Micros run = usual * worker.slow_factor * (4 + worker.in_flight) / 4;
  auto found = worker.instances.find(request.function);
  int remark = 1;
  if (found == worker.instances.end()) {
    if (family.at("OnMiss") == "miss") return {"MISS", 2 * kNetworkDelay, 0};
    if (worker.instances.size() >= kMaxFunctionsPerWorker) worker.instances.erase(worker.instances.begin());
    Instance added;
    added.ready_at = now_ + kLoadTime + random_.below(20'000);
    added.fails = random_.permille(plan_.load_failure_share);
    found = worker.instances.emplace(request.function, added).first;
    remark = 2;
  } else if (found->second.ready_at > now_) {
    remark = 3;
  }
  Instance& instance = found->second;
  const Micros wait = std::max<Micros>(instance.ready_at - now_, 0);
  instance.used_at = now_;
  if (instance.fails) {
    worker.instances.erase(found);
    return {family.at("OnMiss") == "miss" ? "MISS" : "BAD", 2 * kNetworkDelay + wait, 4};
  }
  if (!family.at("TellsWarm").get<bool>()) remark = 0;
  if (family.at("NotesPeersInHand").get<bool>()) remark += 8 * std::min(worker.in_flight, 30);
  return {"GOOD", 2 * kNetworkDelay + wait + run, remark};
}

void FleetSimulation::finish_attempt(const std::string& id, int attempt, const AttemptResult& result) {
  Request& request = requests_.at(id);
  Attempt& record = request.attempts.at(as_index(attempt));
  if (record.finished) return;
  record.finished = true;
  Worker& worker = workers_[as_index(record.worker)];
  --worker.in_flight;
  if (result.status == "GOOD" || (request.streaming && result.status != "NOP")) request.finished = true;
  if (invokers_[as_index(request.invoker)].incarnation != request.incarnation) return;
  const Json remark = result.remark > 0 ? Json(result.remark) : Json();
  const Json message = {"Result",
                        id,
                        remark,
                        result.status,
                        request.finished,
                        to_millis(now_ - record.sent),
                        attempt,
                        worker.id,
                        report(worker, false)};
  deliver(request.invoker, message);
  if (random_.permille(plan_.stray_message_share / 4))
    deliver(request.invoker, message);  // a duplicate, to be ignored
}

void FleetSimulation::begin_stream(const std::string& id, int attempt) {
  Request& request = requests_.at(id);
  const Attempt& streamed = request.attempts.at(as_index(attempt));
  if (request.finished || streamed.finished) return;
  request.streaming = true;
  if (invokers_[as_index(request.invoker)].incarnation != request.incarnation) return;
  deliver(request.invoker, {"HeadReceived", id, attempt, workers_[as_index(streamed.worker)].id,
                            to_millis(now_ - streamed.sent)});
}

void FleetSimulation::cancel_attempt(const Json& command) {
  const std::string id = command.at(1);
  const int attempt = command.at(2).get<int>();
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.streaming) return;
  schedule(kNetworkDelay, [this, id, attempt] { finish_attempt(id, attempt, {"CXL", 0, 0}); });
}

void FleetSimulation::end_request(const Json& command, bool refused) {
  const auto found = requests_.find(command.at(1).get<std::string>());
  if (found == requests_.end() || found->second.finished) return;
  found->second.finished = true;
  const bool repeatable =
      plan_.settings.at("Classes").at(as_index(found->second.class_index)).at("Semantics") == "repeatable";
  if (refused || repeatable) retry_request(found->second);
}

void FleetSimulation::load(int invoker, const Json& command) {
  const std::string& id = command.at(1).get_ref<const std::string&>();
  const auto function = command.at(2).get<std::uint64_t>();
  const int instances = command.at(3).get<int>();
  Worker& worker = workers_[as_index(worker_index_.at(id))];
  const auto answer = [&](const char* status, Micros after, int loaded) {
    deliver_later(invoker, after, {"BroughtUp", id, function, status, to_millis(after), loaded});
  };
  if (worker.down_until > now_) return answer(random_.permille(500) ? "NOCONN" : "RST", 2 * kNetworkDelay, 0);
  if (worker.silent_until > now_) return answer("LATE", kOrderTimeout, 0);
  const bool full = worker.availability != 2 || random_.permille(plan_.load_failure_share);
  if (full) return answer("FULL", 2 * kNetworkDelay, worker.instances.count(function) > 0 ? 1 : 0);
  if (random_.permille(plan_.load_failure_share)) return answer("BAD", kLoadTime, 0);
  Instance& instance = worker.instances[function];
  if (instance.ready_at == 0) instance.ready_at = now_ + kLoadTime * worker.slow_factor;
  answer("GOOD", 2 * kNetworkDelay + std::max<Micros>(instance.ready_at - now_, 0), instances);
}

void FleetSimulation::probe(int invoker, const Json& command) {
  const std::string& id = command.at(1).get_ref<const std::string&>();
  const Worker& worker = workers_[as_index(worker_index_.at(id))];
  const char* status = worker.down_until > now_     ? (random_.permille(700) ? "NOCONN" : "RST")
                       : worker.silent_until > now_ ? "LATE"
                                                    : "GOOD";
  const Micros after = worker.silent_until > now_ ? kConnectTimeout : 2 * kNetworkDelay;
  const Json row = worker.down_until > now_ || worker.silent_until > now_ ? Json() : report(worker, true);
  deliver_later(invoker, after, {"Sampled", status, to_millis(after), id, row});
}

void FleetSimulation::publish(int invoker, const Json& command) {
  for (int i = 0; i < plan_.invokers; ++i) {
    if (i == invoker || random_.permille(plan_.peer_message_loss_share)) continue;
    deliver_later(i, 1 * kMillisecond, {"Heard", invoker, command.at(2)});
  }
}

void FleetSimulation::subscribe(int invoker, bool enable) {
  const bool fails = random_.permille(plan_.discovery_failure_share);
  invokers_[as_index(invoker)].subscribed = enable && !fails;
  const int incarnation = invokers_[as_index(invoker)].incarnation;
  if (fails) return deliver_later(invoker, 5 * kMillisecond, {"Discovery", 0, kFailedList, 0});
  schedule(5 * kMillisecond, [this, invoker, incarnation] {
    if (invokers_[as_index(invoker)].incarnation == incarnation) deliver_full_list(invoker, kFullList);
  });
}

void FleetSimulation::set_timer(int invoker, const Json& command) {
  const Micros after = std::max<Micros>(to_micros(command.at(1).get<double>()), 1);
  deliver_later(invoker, after, {"Ring", command.at(2)});
}

FleetSimulation::Json FleetSimulation::report(const Worker& worker, bool for_probe) {
  const auto& load_info = plan_.settings.at("LoadInfo");
  const bool attached = load_info.at("How") == "piggyback" || (for_probe && load_info.at("How") == "pull");
  if (!attached) return nullptr;
  Json row = Json::array();
  for (const auto& field : load_info.at("Fields")) {
    const int waiting = std::max(0, worker.in_flight * worker.slow_factor - 4);
    const bool utilisation = field == "util";
    row.push_back(utilisation ? std::min(worker.in_flight, 8) / 8.0 : static_cast<double>(waiting));
  }
  return row;
}

}  // namespace pathstack::policy::replay

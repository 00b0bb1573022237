/// A small closed-loop simulation of invokers, workers, clients and faults that drives the adapter through
/// its JSON protocol.
///
/// The simulation produces varied and valid event streams; it does not model a real fleet. The seed
/// determines how workers behave, and the adapter's actions determine what happens next. Times are integer
/// microseconds and random numbers are taken directly from the engine, so a plan gives the same stream on
/// every machine.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "day_plan.h"
#include "random.h"
#include "simulator_adapter/adapter.h"
#include "summary.h"

namespace pathstack::policy::replay {

/// Runs one day. Deterministic for a given plan and decision module.
class FleetSimulation {
 public:
  /// Called with each round (a batch of messages as sent to the adapter) and the adapter's reply.
  using Observer = std::function<void(const std::string& round, const std::string& reply)>;

  explicit FleetSimulation(const DayPlan& plan);

  /// Runs the whole day; call once.
  Summary run(const Observer& observer = nullptr);

 private:
  using Micros = std::int64_t;
  using Json = nlohmann::json;

  struct Instance {  // an instance of a function at a worker
    Micros ready_at = 0, used_at = 0;
    bool fails = false;  // the load fails
  };
  struct Worker {
    std::string id, zone, kind;
    int cell = 0, availability = 2;
    Micros started = 0, down_until = 0, silent_until = 0;
    int slow_factor = 1, error_share = 0, in_flight = 0;
    std::map<std::uint64_t, Instance> instances;
  };
  struct Invoker {
    bool running = false, subscribed = false;
    int incarnation = 0;  // number of starts; messages for an earlier one are dropped
    Micros list_delay = 0;
    Json inbox = Json::array();
  };
  struct Attempt {
    int worker = 0;
    Micros sent = 0;
    bool finished = false;
  };
  struct Request {
    int invoker = 0, incarnation = 0, class_index = 0;
    std::uint64_t function = 0;
    Micros deadline = 0;
    bool finished = false, streaming = false;
    std::vector<Attempt> attempts;
  };
  struct AttemptResult {  // how and when an attempt will end
    std::string status;
    Micros after = 0;  // kNoAnswer: the attempt ends only by its timeout
    int remark = 0;    // warmth and number of concurrent calls, as in a `Result` message
  };

  DayPlan plan_;
  Random random_;
  simulator_adapter::Adapter adapter_;
  Micros now_ = 0;
  int round_ = 0, next_request_ = 0, next_worker_ = 0, next_page_ = 0, list_generation_ = 0;
  std::vector<Worker> workers_;
  std::map<std::string, int> worker_index_;
  std::vector<Invoker> invokers_;
  std::map<std::string, Request> requests_;
  std::multimap<Micros, std::function<void()>> pending_;

  void schedule(Micros after, std::function<void()> step) { pending_.emplace(now_ + after, std::move(step)); }
  void deliver(int invoker, Json message);
  void deliver_later(int invoker, Micros after, Json message);

  void start_fleet();
  void start_invoker(int index);
  void stop_invoker(int index);
  void restart_random_invoker();
  void run_round(Summary& summary, const Observer& observer);

  void add_worker();
  Json entry(const Worker& worker) const;
  void deliver_list(int invoker, int kind, const Json& entries);
  void announce_worker(int index);
  void deliver_full_list(int invoker, int kind);

  void inject_worker_fault();
  void restart_worker(int index);
  void drain_worker(int index);

  void generate_requests();
  void add_request(int invoker, std::uint64_t function, Micros expires_in, bool retry);
  void abandon_request(const std::string& id);
  void retry_request(const Request& ended);
  void send_stray_message(int invoker, const std::string& id);

  void execute(int invoker, const Json& command);
  void assign(int invoker, const Json& command);
  AttemptResult attempt_result(Worker& worker, const Request& request, Micros timeout);
  AttemptResult result_without_timeout(Worker& worker, const Request& request);
  AttemptResult run_request(Worker& worker, const Request& request);
  void finish_attempt(const std::string& id, int attempt, const AttemptResult& result);
  void begin_stream(const std::string& id, int attempt);
  void cancel_attempt(const Json& command);
  void end_request(const Json& command, bool refused);
  void load(int invoker, const Json& command);
  void probe(int invoker, const Json& command);
  void publish(int invoker, const Json& command);
  void subscribe(int invoker, bool enable);
  void set_timer(int invoker, const Json& command);
  Json report(const Worker& worker, bool for_probe);
};

}  // namespace pathstack::policy::replay

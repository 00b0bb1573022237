// Events in, actions out: takes each event to the parts that it concerns.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/admission.h"
#include "policy/common.h"
#include "policy/concurrency_limit.h"
#include "policy/function_table.h"
#include "policy/lease_renewal.h"
#include "policy/load_order_budget.h"
#include "policy/load_reports.h"
#include "policy/load_shedder.h"
#include "policy/membership_lease.h"
#include "policy/outcome_recorder.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"
#include "policy/scheduler.h"
#include "policy/service_times.h"
#include "policy/slow_start.h"
#include "policy/worker_selector.h"
#include "policy/worker_table.h"

namespace pathstack::policy {

/// The parts of the decision module from one Start event to the next, wired together. It decides nothing
/// itself.
///
/// Owned by Policy, which keeps `now` from running backwards. Not thread-safe. Neither copied nor moved: the
/// parts hold references to each other.
class Engine {
 public:
  Engine(const Settings& settings, ActionSink& actions);
  ~Engine() = default;
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  void on(const event::Start&, Millis) {}  // Policy makes a new engine
  void on(const event::Stop&, Millis) {}   // Policy drops the engine
  void on(const event::WorkerList& list, Millis now);
  void on(const event::ListLease& lease, Millis now);
  void on(const event::ConnectionsLost& lost, Millis now);
  void on(const event::Request& event, Millis now);
  void on(const event::StreamStarted& event, Millis now);
  void on(const event::AttemptEnded& answer, Millis now);
  void on(const event::RequestAbandoned& event, Millis now);
  void on(const event::Timer& timer, Millis now);
  void on(const event::ProbeEnded& probe, Millis now);
  void on(const event::LoadEnded& order, Millis now);
  void on(const event::PeerMessage& event, Millis now);

  /// Adds the counters and present figures that operators read in the log, by name.
  void add_counters(std::map<std::string, double>& counters, Millis now) const;

 private:
  const Settings settings_;
  ActionSink& actions_;
  Random random_;
  WorkerTable workers_;
  MembershipLease lease_;
  ServiceTimes times_;
  FunctionTable functions_;
  RequestTable requests_;
  OutlierDetector outliers_;
  SlowStart slow_start_;
  LoadReports reports_;
  ConcurrencyLimit limits_;
  Placement placement_;
  LoadOrderBudget order_budget_;
  LeaseRenewal renewal_;
  Admission admission_;
  RetryPolicy retries_;
  WorkerSelector selector_;
  Scheduler scheduler_;
  LoadShedder shedder_;
  OutcomeRecorder outcomes_;
  Millis list_retry_at_{kNever};  // kNever: no failed list to ask for again

  int class_index_of(const std::string& name) const;
  void reset_worker(WorkerIndex worker);
  void apply_change(const WorkerChange& change);
  void sweep(Millis now);
  void prune(Millis now);
};

}  // namespace pathstack::policy

/// Dispatches each event to the components of the decision module that it concerns.
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

/// Owns the components of the decision module from one Start event to the next, and connects them. The
/// decisions are made in the components.
///
/// Owned by Policy, which ensures that `now` never decreases. Not thread-safe. Neither copyable nor movable,
/// since the components hold references to each other.
class Engine {
 public:
  Engine(const Settings& settings, ActionSink& actions);
  ~Engine() = default;
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  void on(const event::Start&, Millis) {}  // Policy creates a new engine
  void on(const event::Stop&, Millis) {}   // Policy destroys the engine
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

  /// Adds the counters and current values that operators read in the log, by name. O(workers + functions).
  void add_counters(std::map<std::string, double>& counters, Millis now) const;

  /// See `Policy`.
  std::size_t function_bytes() const { return functions_.bytes(); }
  std::size_t bytes_to_add(std::uint64_t function) const {
    return functions_.bytes_to_add(function, static_cast<std::size_t>(workers_.ready_count()));
  }

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
  Millis list_retry_at_{kNever};  // when to request a failed list again; kNever: none has failed

  int class_index_of(const std::string& name) const;
  void reset_worker(WorkerIndex worker);
  void apply_change(const WorkerChange& change);
  void sweep(Millis now);
  void prune(Millis now);
};

}  // namespace pathstack::policy

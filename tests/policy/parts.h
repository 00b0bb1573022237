/// Connects the components of the decision module below the scheduler, for tests of a single component.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "policy/admission.h"
#include "policy/concurrency_limit.h"
#include "policy/function_table.h"
#include "policy/lease_renewal.h"
#include "policy/load_order_budget.h"
#include "policy/load_reports.h"
#include "policy/membership_lease.h"
#include "policy/outlier_detector.h"
#include "policy/request_table.h"
#include "policy/retry_policy.h"
#include "policy/service_times.h"
#include "policy/slow_start.h"
#include "policy/worker_table.h"
#include "policy_harness.h"

namespace pathstack::policy::test {

/// One object of each component, with the settings and the clock that they share.
struct Parts {
  explicit Parts(Settings s = test::settings()) : settings(std::move(s)) { actions.write_to(emitted); }

  /// Adds the worker by a list delta and resets its data in all components.
  WorkerIndex add_worker(const WorkerEntry& worker) {
    workers.apply({ListKind::delta, {worker}}, now);
    const WorkerIndex index = workers.find(worker.worker)->index;
    lease.reset(index);
    renewal.reset(index);
    outliers.reset(index);
    slow_start.reset(index);
    reports.reset(index);
    limits.reset(index);
    return index;
  }

  /// Adds a function by the arrival of a request for it.
  Function& add_function(std::uint64_t id, int class_index = 0, int slots = 2) {
    event::Request request;
    request.function = id;
    request.concurrency = slots;
    return functions.request_arrived(request, class_index, now);
  }

  /// Adds a queued request of the function; `deadline` and `objective` are in milliseconds from now.
  Request& add_request(const std::string& id, Function& function, double deadline = 4000,
                       double objective = 1000) {
    Request& request = requests.create(id, function.times.class_index, function);
    request.deadline = now + Millis(deadline);
    request.objective_at = now + Millis(objective);
    requests.enqueue(request, QueueEnd::back);
    return request;
  }

  /// The actions of one type that were emitted so far.
  template <typename AnyAction>
  std::vector<AnyAction> emitted_actions() const {
    std::vector<AnyAction> found;
    for (const Action& action : emitted) {
      if (const auto* one = std::get_if<AnyAction>(&action)) found.push_back(*one);
    }
    return found;
  }

  Settings settings;
  Millis now{1000};
  std::vector<Action> emitted;
  ActionSink actions;
  Random random{7};
  WorkerTable workers{settings};
  MembershipLease lease{settings, workers, actions};
  ServiceTimes times{settings};
  FunctionTable functions{settings, times};
  RequestTable requests;
  OutlierDetector outliers{settings, workers, lease, times, functions, actions};
  LoadOrderBudget orders{settings};
  LeaseRenewal renewal{settings, workers, lease, functions, times, outliers, orders, actions};
  SlowStart slow_start{settings, workers, outliers, random, actions};
  LoadReports reports{settings, workers, slow_start, actions};
  ConcurrencyLimit limits{settings, workers, reports, random};
  Admission admission{settings, requests, times, limits};
  RetryPolicy retries{settings,   workers, requests,  times,  outliers,
                      slow_start, limits,  admission, random, actions};
};

}  // namespace pathstack::policy::test

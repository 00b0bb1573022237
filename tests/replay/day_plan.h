/// The scenarios that the replay test generates, called days: settings of the invokers, the fleet, the
/// traffic and the faults.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pathstack::policy::replay {

/// One scenario. Shares are per thousand.
struct DayPlan {
  std::string name;
  std::uint64_t seed = 1;
  nlohmann::json settings;  // as sent with `Init`; zone and rank are set for each invoker
  int length_ms = 6000;
  int invokers = 1;  // number simulated; the settings may state more
  int workers = 8;
  int worker_slots = 12;  // concurrent requests per worker; further ones are answered FULL
  int functions = 40;
  bool every_function_once = false;  // each request names a new function
  int requests_per_second = 200;
  int traffic_until_ms = 1 << 30;  // no new requests after this time
  int error_share = 0;
  bool has_failing_worker = false;  // the first worker answers every request BAD
  int reset_share = 0;
  int lost_answer_share = 0;  // attempts that end as LATE because their answer is lost
  int abandoned_request_share = 0;
  int load_failure_share = 0;
  int short_deadline_share = 0;  // requests that expire within 4 ms
  int fault_interval_ms = 0;     // time between faults, each of one worker; 0: none
  int invoker_restart_interval_ms = 0;
  int discovery_failure_share = 0;
  /// Per request: messages that are late, unknown or refer to something unknown. Unlisted classes and
  /// duplicate messages occur at a fraction of this share.
  int stray_message_share = 0;
  int peer_message_loss_share = 20;
};

/// All days, in the order in which they run.
std::vector<DayPlan> day_plans();

}  // namespace pathstack::policy::replay

// The days that the replay test generates: settings of the invokers, the fleet, the traffic and its faults.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pathstack::policy::replay {

/// Shares are per thousand, times in milliseconds unless said otherwise.
struct DayPlan {
  std::string name;
  std::uint64_t seed = 1;
  nlohmann::json settings;  // as sent with Init; zone and rank are filled in for each invoker
  int length_ms = 6000;
  int invokers = 1;  // simulated; the settings may name a larger tier
  int workers = 8;
  int worker_slots = 12;  // requests at one worker; more are answered FULL
  int functions = 40;
  bool every_function_once = false;
  int requests_per_second = 200;
  int traffic_until_ms = 1 << 30;
  int error_share = 0;
  bool has_failing_worker = false;  // one that answers every request BAD
  int reset_share = 0;
  int lost_answer_share = 0;  // answered LATE
  int abandoned_request_share = 0;
  int load_failure_share = 0;
  int short_deadline_share = 0;  // requests with hardly any time left
  int fault_interval_ms = 0;     // pace of faults of one worker each; 0: none
  int invoker_restart_interval_ms = 0;
  int discovery_failure_share = 0;
  int stray_message_share = 0;  // odd messages, per request; also unlisted classes and repeats
  int peer_message_loss_share = 20;
};

/// All days, in the order in which they are played.
std::vector<DayPlan> day_plans();

}  // namespace pathstack::policy::replay

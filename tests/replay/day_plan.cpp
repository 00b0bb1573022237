#include "day_plan.h"

namespace pathstack::policy::replay {
namespace {

using nlohmann::json;

json class_settings(const char* name, const char* semantics, const char* scope, bool stream = false) {
  return {{"Name", name},     {"Semantics", semantics}, {"KeyScope", scope},   {"KeyTtl", 1500.0},
          {"Aim", 400.0},     {"AimStretch", 0.0},      {"HardLimit", 2000.0}, {"Gain", 3.0},
          {"LateValue", 0.2}, {"Stream", stream}};
}

json all_classes() {
  json classes = json::array();
  classes.push_back(class_settings("repeatable", "repeatable", "all"));
  classes.push_back(class_settings("once", "once", "all"));
  classes.push_back(class_settings("key_all", "by_key", "all"));
  classes.push_back(class_settings("key_zone", "by_key", "zone"));
  classes.push_back(class_settings("key_cell", "by_key", "cell"));
  classes.push_back(class_settings("stream", "repeatable", "all", true));
  classes[1]["Gain"] = 9.0;
  classes[2]["LateValue"] = 0.8;
  classes[4]["Aim"] = 0.0;
  return classes;
}

json base_settings() {
  return {{"Balancers", 1},
          {"Bounds",
           {{"Cancel", true},
            {"ConnectTimeout", 250.0},
            {"MaxRetryAfter", 500.0},
            {"PeerMessages", false},
            {"Probes", false},
            {"RetryAfter", false},
            {"SecondCopies", false},
            {"SendCap", 4}}},
          {"Classes", all_classes()},
          {"Dcs", {"hall-a", "hall-b"}},
          {"FamilyInfo",
           {{"LingerIdle", 4000.0},
            {"LoadFloor", 3.0},
            {"LoadRatio", 0.15},
            {"LoadWindow", 0.0},
            {"MemoryMbByKind", {8000.0, 16000.0}},
            {"NotesPeersInHand", false},
            {"OnMiss", "load"},
            {"OrderTimeout", 3000.0},
            {"Orders", true},
            {"PriceOfIdle", 0.0},
            {"TellsWarm", true}}},
          {"Kinds", {"small", "large"}},
          {"LoadInfo", {{"Fields", json::array()}, {"How", "silent"}}},
          {"OverShareWorth", 0.2},
          {"Prices", {{"CrossZone", 0.04}, {"Origin", 0.05}, {"Probe", 0.01}}},
          {"RegistryMode", "push"},
          {"Rules",
           {{"Cold", 3000.0},
            {"ColdFrom", 0.3},
            {"DrainGrace", 250.0},
            {"FallMultiple", 4.0},
            {"GraceToAnswer", 8.0},
            {"MustAskIn", 10000.0},
            {"TipAfter", 1000.0}}},
          {"Tenants", json::array()},
          {"Tick", 2.0},
          {"WorthBy", "request"}};
}

json with_reports(json settings, const char* how, const json& fields) {
  settings["LoadInfo"] = {{"Fields", fields}, {"How", how}};
  return settings;
}

void add_faults(DayPlan& plan) {
  plan.error_share = 20;
  plan.reset_share = 5;
  plan.lost_answer_share = 5;
  plan.abandoned_request_share = 30;
  plan.load_failure_share = 50;
  plan.short_deadline_share = 10;
  plan.fault_interval_ms = 400;
  plan.invoker_restart_interval_ms = 2500;
}

/// One invoker without faults.
DayPlan single_invoker_day() {
  DayPlan plan;
  plan.name = "calm-one-invoker";
  plan.seed = 101;
  plan.settings = base_settings();
  return plan;
}

/// Worker and invoker faults. Load reports arrive with probes, and invokers exchange messages.
DayPlan faults_day() {
  DayPlan plan;
  plan.name = "trouble-five-invokers";
  plan.seed = 102;
  plan.settings = with_reports(base_settings(), "pull", {"util", "queue", "x0", "x1"});
  plan.settings["Balancers"] = 5;
  plan.settings["Bounds"]["Probes"] = true;
  plan.settings["Bounds"]["PeerMessages"] = true;
  plan.settings["Bounds"]["RetryAfter"] = true;
  plan.settings["FamilyInfo"]["LoadWindow"] = 5000.0;
  plan.settings["FamilyInfo"]["NotesPeersInHand"] = true;
  plan.settings["Tenants"] = {{{"Name", "gold"}, {"Share", 0.7}, {"QuotaPerS", 90.0}},
                              {{"Name", "rest"}, {"Share", 0.3}, {"QuotaPerS", 40.0}}};
  plan.length_ms = 8000;
  plan.invokers = 5;
  plan.workers = 14;
  plan.requests_per_second = 400;
  add_faults(plan);
  return plan;
}

/// Workers answer `miss` instead of loading. Load reports arrive with answers, and the list of workers is
/// sent only on request.
DayPlan miss_rejection_day() {
  DayPlan plan;
  plan.name = "miss-thirty-invokers";
  plan.seed = 103;
  plan.settings = with_reports(base_settings(), "piggyback", {"inflight", "util", "novel"});
  plan.settings["Balancers"] = 30;
  plan.settings["Bounds"]["PeerMessages"] = true;
  plan.settings["FamilyInfo"]["OnMiss"] = "miss";
  plan.settings["FamilyInfo"]["LoadWindow"] = 4000.0;
  plan.settings["RegistryMode"] = "ask";
  plan.length_ms = 5000;
  plan.invokers = 30;
  plan.workers = 24;
  plan.requests_per_second = 900;
  plan.discovery_failure_share = 200;
  add_faults(plan);
  return plan;
}

/// Simulates 20 of 300 invokers. Answers do not state the warmth of the instance.
DayPlan many_invokers_day() {
  DayPlan plan;
  plan.name = "trouble-of-300-invokers";
  plan.seed = 104;
  plan.settings = with_reports(base_settings(), "pull", {"util", "inflight"});
  plan.settings["Balancers"] = 300;
  plan.settings["Bounds"]["Probes"] = true;
  plan.settings["Bounds"]["PeerMessages"] = true;
  plan.settings["Bounds"]["RetryAfter"] = true;
  plan.settings["FamilyInfo"]["TellsWarm"] = false;
  plan.settings["FamilyInfo"]["Orders"] = false;
  plan.length_ms = 8000;
  plan.invokers = 20;
  plan.workers = 40;
  plan.worker_slots = 6;
  plan.functions = 120;
  plan.requests_per_second = 500;
  add_faults(plan);
  return plan;
}

/// As many_invokers_day, with load orders, workers that answer `miss`, and value counted per unit of work.
DayPlan many_invokers_with_orders_day() {
  DayPlan plan = many_invokers_day();
  plan.name = "orders-of-300-invokers";
  plan.seed = 105;
  plan.settings["FamilyInfo"]["OnMiss"] = "miss";
  plan.settings["FamilyInfo"]["Orders"] = true;
  plan.settings["FamilyInfo"]["TellsWarm"] = true;
  plan.settings["FamilyInfo"]["LoadWindow"] = 3000.0;
  plan.settings["WorthBy"] = "work";
  plan.settings["Bounds"]["Cancel"] = false;
  plan.requests_per_second = 900;
  plan.stray_message_share = 100;
  return plan;
}

/// More requests than the workers can serve, with every optional feature disabled.
DayPlan overload_day() {
  DayPlan plan;
  plan.name = "overload-bare-settings";
  plan.seed = 106;
  plan.settings = base_settings();
  plan.settings["Balancers"] = 3;
  plan.settings["Bounds"]["Cancel"] = false;
  plan.settings["Bounds"]["SendCap"] = 2;
  plan.settings["FamilyInfo"]["Orders"] = false;
  plan.settings["FamilyInfo"]["TellsWarm"] = false;
  plan.settings["FamilyInfo"]["LingerIdle"] = 0.0;
  plan.invokers = 3;
  plan.workers = 4;
  plan.worker_slots = 5;
  plan.requests_per_second = 700;
  add_faults(plan);
  return plan;
}

/// As faults_day, with more than one attempt per request at a time.
DayPlan hedged_requests_day() {
  DayPlan plan = faults_day();
  plan.name = "second-copies-five-invokers";
  plan.seed = 107;
  plan.settings["Bounds"]["SecondCopies"] = true;
  plan.settings["FamilyInfo"]["OnMiss"] = "miss";
  plan.settings["LoadInfo"]["How"] = "piggyback";
  plan.settings["RegistryMode"] = "ask";
  plan.discovery_failure_share = 300;
  plan.stray_message_share = 100;
  return plan;
}

/// Low traffic, for long enough that records of removed workers and idle functions are pruned.
DayPlan long_quiet_day() {
  DayPlan plan;
  plan.name = "long-and-quiet";
  plan.seed = 108;
  plan.settings = with_reports(base_settings(), "pull", {"queue", "util"});
  plan.settings["Balancers"] = 2;
  plan.settings["Bounds"]["Probes"] = true;
  plan.settings["Bounds"]["PeerMessages"] = true;
  plan.length_ms = 110000;
  plan.invokers = 2;
  plan.workers = 6;
  plan.requests_per_second = 30;
  plan.traffic_until_ms = 40000;
  plan.has_failing_worker = true;
  add_faults(plan);
  plan.fault_interval_ms = 1500;
  plan.invoker_restart_interval_ms = 0;
  return plan;
}

/// Requests more functions than the function table keeps.
DayPlan many_functions_day() {
  DayPlan plan;
  plan.name = "many-functions";
  plan.seed = 109;
  plan.settings = base_settings();
  plan.length_ms = 4500;
  plan.workers = 5;
  plan.every_function_once = true;
  plan.requests_per_second = 1500;
  plan.traffic_until_ms = 3000;
  plan.error_share = 900;
  return plan;
}

}  // namespace

std::vector<DayPlan> day_plans() {
  return {single_invoker_day(),
          faults_day(),
          miss_rejection_day(),
          many_invokers_day(),
          many_invokers_with_orders_day(),
          overload_day(),
          hedged_requests_day(),
          long_quiet_day(),
          many_functions_day()};
}

}  // namespace pathstack::policy::replay

#include "site_settings.h"

namespace pathstack::soak {
namespace {

nlohmann::json class_of(const char* name, const char* semantics, Millis deadline, double worth) {
  return {{"Name", name},
          {"Semantics", semantics},
          {"Aim", deadline.count() / 2},
          {"HardLimit", deadline.count()},
          {"Gain", worth},
          {"LateValue", 0.2},
          {"KeyScope", "all"},
          {"KeyTtl", 5000},
          {"Stream", false}};
}

}  // namespace

const char* class_name(Semantics semantics) {
  switch (semantics) {
    case Semantics::repeatable: return "preview";
    case Semantics::keyed: return "booking";
    case Semantics::once: break;
  }
  return "licence";
}

std::string zone_name(int zone) { return "hall-" + std::to_string(zone); }

RuleSettings rule_settings(const Deployment& deployment) {
  RuleSettings rules;
  rules.send_cap = deployment.send_cap;
  rules.memory_mb = deployment.memory_mb;
  rules.descriptors = static_cast<std::size_t>(deployment.descriptors);
  rules.min_served_share = deployment.min_served_share;
  rules.min_served_share_per_second = deployment.min_served_share_per_second;
  rules.outage.min_served_share = deployment.min_served_share_in_outage;
  return rules;
}

nlohmann::json site_settings(const Deployment& d, int rank) {
  const RuleSettings rules = rule_settings(d);
  nlohmann::json settings;
  settings["Az"] = zone_name(rank % d.zones);
  settings["Rank"] = rank;
  settings["Balancers"] = d.invokers;
  settings["Tick"] = 2;
  settings["RegistryMode"] = "push";
  settings["KindOfService"] = "warm";
  settings["Kinds"] = {"std"};
  settings["Bounds"] = {{"Cancel", true},        {"ConnIdle", 30000},     {"ConnectTimeout", 250},
                        {"Probes", d.probes},    {"SecondCopies", false}, {"SendCap", d.send_cap},
                        {"StreamsPerConn", 100}, {"PeerMessages", false}, {"RetryAfter", false}};
  settings["Classes"] = {
      class_of(class_name(Semantics::repeatable), "repeatable", d.repeatable_time_limit, 3),
      class_of(class_name(Semantics::keyed), "by_key", d.repeatable_time_limit, 5),
      class_of(class_name(Semantics::once), "once", d.once_time_limit, 9)};
  settings["Tenants"] = {{{"Name", "tenant-a"}, {"Share", 1.0}, {"QuotaPerS", 1000}}};
  settings["FamilyInfo"] = {{"OnMiss", "load"},
                            {"Orders", d.orders},
                            {"LingerIdle", 9000},
                            {"LoadFloor", rules.load_floor},
                            {"LoadRatio", rules.load_ratio},
                            {"LoadWindow", rules.load_window.count()},
                            {"MemoryMbByKind", {64000}},
                            {"NotesPeersInHand", true},
                            {"OrderTimeout", 10000},
                            {"TellsWarm", false}};
  settings["LoadInfo"] = {{"How", "pull"}, {"Fields", {"util", "queue"}}};
  settings["Rules"] = {{"Cold", 4000},      {"ColdFrom", 0.3},    {"DrainGrace", rules.drain_grace.count()},
                       {"FallMultiple", 4}, {"GraceToAnswer", 8}, {"MustAskIn", 10000},
                       {"TipAfter", 1000}};
  return settings;
}

}  // namespace pathstack::soak

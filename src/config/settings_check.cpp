#include "config/settings_check.h"

#include <string>

#include "config/config_error.h"
#include "config/json_read.h"
#include "config/value_checks.h"

namespace pathstack::config {
namespace {

const std::string kSettings = "settings";

std::string row_path(const char* list, const json& row) {
  return kSettings + '.' + list + '[' + text(key(row, "Name")) + ']';
}

void check_bounds(const json& bounds) {
  const std::string path = kSettings + ".Bounds";
  check_numbers(bounds, path, {"ConnectTimeout", "MaxRetryAfter"});
  check_booleans(bounds, path, {"Cancel", "SecondCopies", "Probes", "PeerMessages", "RetryAfter"});
}

void check_family(const json& family) {
  const std::string path = kSettings + ".FamilyInfo";
  check_numbers(family, path,
                {"LingerIdle", "LoadFloor", "LoadRatio", "LoadWindow", "OrderTimeout", "PriceOfIdle"});
  check_booleans(family, path, {"Orders", "TellsWarm", "NotesPeersInHand"});
  check_enum(family, "OnMiss", path, {"load", "miss"});
}

void check_class(const json& row) {
  const std::string path = row_path("Classes", row);
  check_numbers(row, path, {"Aim", "HardLimit", "Gain", "LateValue", "KeyTtl", "AimStretch"});
  check_enum(row, "Semantics", path, {"repeatable", "by_key", "once"});
  check_enum(row, "KeyScope", path, {"all", "zone", "cell"});
  check_booleans(row, path, {"Stream"});
}

}  // namespace

void check_setting_types(const json& settings) {
  for (const char* name : {"Bounds", "Rules", "FamilyInfo", "LoadInfo", "Prices"}) {
    const json& part = key(settings, name);
    const bool is_part = part.is_null() || part.is_object();
    if (!is_part) throw_config_error(kSettings + '.' + name, "must be an object");
  }
  for (const char* name : {"Classes", "Tenants"}) check_object_array(settings, name, kSettings);
  check_numbers(settings, kSettings, {"Balancers", "Rank", "Tick", "OverShareWorth"});
  check_enum(settings, "RegistryMode", kSettings, {"push", "ask"});
  check_enum(settings, "WorthBy", kSettings, {"request", "work"});
  check_bounds(key(settings, "Bounds"));
  check_numbers(key(settings, "Rules"), kSettings + ".Rules",
                {"GraceToAnswer", "DrainGrace", "MustAskIn", "Cold", "ColdFrom", "FallMultiple", "TipAfter"});
  check_family(key(settings, "FamilyInfo"));
  check_numbers(key(settings, "Prices"), kSettings + ".Prices", {"CrossZone", "Origin", "Probe"});
  check_enum(key(settings, "LoadInfo"), "How", kSettings + ".LoadInfo", {"piggyback", "pull", "silent"});
  for (const auto& row : key(settings, "Classes")) check_class(row);
  for (const auto& row : key(settings, "Tenants")) {
    check_numbers(row, row_path("Tenants", row), {"Share", "QuotaPerS"});
  }
}

void check_classes(const json& settings, const pathstack::policy::Settings& read) {
  const auto& classes = key(settings, "Classes");
  if (!classes.is_array() || classes.empty()) {
    throw_config_error("settings.Classes", "must be a non-empty array of classes");
  }
  for (const auto& call_class : read.classes) {
    const std::string& name = call_class.name;
    if (name.empty() || name.find_first_of(" ,=\r\n") != std::string::npos) {
      throw_config_error("settings.Classes[].Name",
                         "must be a non-empty string without spaces, commas, equals signs and line breaks");
    }
    if (!(call_class.deadline.count() > 0)) {
      throw_config_error("settings.Classes[" + name + "].HardLimit", "must be greater than 0");
    }
  }
}

}  // namespace pathstack::config

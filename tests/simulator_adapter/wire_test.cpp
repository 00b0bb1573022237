#include <catch2/catch.hpp>

#include "config/settings.h"
#include "simulator_adapter/adapter.h"

namespace pathstack::simulator_adapter {
namespace {

const char* const kInit =
    R"({"Time":1000,"n":1,"routers":[{"Router":"router_0","inbox":[["Init",5,{"Tick":4,"Novel":1,)"
    R"("Classes":[{"Name":"c","Semantics":"repeatable","HardLimit":900}],"Bounds":{"SendCap":3},)"
    R"("FamilyInfo":{"OnMiss":"load","LingerIdle":9000}}],["Catalog",0,[["h:1",0,1,"k",2,null,"z","extra"]]],)"
    R"(["Discovery",1,2,0,"extra"]]}]})";

std::string batch(const std::string& inbox, int n = 2) {
  return R"({"Time":1010,"n":)" + std::to_string(n) + R"(,"routers":[{"Router":"router_0","inbox":[)" +
         inbox + "]}]}";
}

TEST_CASE("Wire: answers an empty batch", "[wire]") {
  Adapter adapter;
  CHECK(adapter.handle_batch(R"({"Time":1,"n":7,"routers":[]})") == R"({"n":7,"routers":[]})");
}

TEST_CASE("Wire: a request leads to a timer and an attempt at a worker", "[wire]") {
  Adapter adapter;
  adapter.handle_batch(kInit);
  const auto out = nlohmann::json::parse(
      adapter.handle_batch(batch(R"(["Order","t/a","c",null,null,0,100,534015773185,null,800,2])")));
  const auto& cmds = out["routers"][0]["cmds"];
  REQUIRE(cmds.size() == 2U);
  CHECK(cmds[0][0] == "Timer");
  CHECK(cmds[1] == nlohmann::json::array({"Assign", "t/a", "h:1", 800.0}));
}

TEST_CASE("Wire: ignores unknown messages and messages about unknown requests", "[wire]") {
  Adapter adapter;
  adapter.handle_batch(kInit);
  const auto out = adapter.handle_batch(
      batch(R"(["Novelty",1],["Ring",99],["Gone","t/none"],["BroughtUp","x:1",3,"GOOD",1,1],)"
            R"(["Result","t/none",null,"GOOD",true,1,0,"h:1",null],["Sampled","GOOD",1,"q:9",[1]])"));
  CHECK(out == R"({"n":2,"routers":[]})");
}

TEST_CASE("Wire: invokers share no state", "[wire]") {
  Adapter adapter;
  adapter.handle_batch(kInit);
  const auto out = adapter.handle_batch(
      R"({"Time":1010,"n":2,"routers":[{"Router":"router_1","inbox":[["Order","t/b","c",null,null,0,1,2,null,9,1]]}]})");
  CHECK(out == R"({"n":2,"routers":[]})");
}

TEST_CASE("Wire: a malformed line throws ProtocolError", "[wire]") {
  for (const char* line :
       {"", "nonsense", "[]", "{}", R"({"Time":1,"n":1})", R"({"Time":"x","n":1,"routers":[]})",
        R"({"Time":1,"n":1,"routers":[{}]})", R"({"Time":1,"n":1,"routers":[{"Router":"r"}]})",
        R"({"Time":1,"n":1,"routers":[{"Router":"r","inbox":[5]}]})",
        R"({"Time":1,"n":1,"routers":[{"Router":"r","inbox":[["Catalog",99,[]]]}]})",
        R"({"Time":1,"n":1,"routers":[{"Router":"r","inbox":[["Catalog",0,[[5]]]]}]})"}) {
    Adapter adapter;
    UNSCOPED_INFO(line);
    CHECK_THROWS_AS(adapter.handle_batch(line), ProtocolError);
  }
}

TEST_CASE("Wire: reads settings", "[wire]") {
  const auto s =
      config::read_settings(nlohmann::json::parse(R"({"LoadInfo":{"How":"pull","Fields":["queue","new"]},
      "Kinds":["p","q"],"FamilyInfo":{"MemoryMbByKind":[5,6]},"RegistryMode":"ask"})"),
                            3);
  CHECK(s.reports == policy::ReportMode::probe);
  CHECK(s.report_fields ==
        (std::vector<policy::ReportField>{policy::ReportField::queue, policy::ReportField::other}));
  CHECK(s.kind_memory_mb.at("q") == 6);
  CHECK(s.requests_list);
  CHECK(s.invokers == 1);
  CHECK(s.seed == 3U);
}

}  // namespace
}  // namespace pathstack::simulator_adapter

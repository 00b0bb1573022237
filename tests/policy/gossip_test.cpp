#include "policy/gossip.h"

#include <catch2/catch.hpp>

#include "policy/hash.h"

namespace pathstack::policy::test {
namespace {

TEST_CASE("Gossip: parsing returns what was written", "[gossip]") {
  GossipMessage message;
  message.add_own_requests(8);
  message.add_worker_load(hash_of("a"), 7);
  message.add_worker_load(hash_of("b"), 1000);
  const auto records = parse_gossip(message.text() + GossipMessage::worker_down(hash_of("c")));
  REQUIRE(records.size() == 4U);
  CHECK(records[0].kind == GossipRecord::Kind::own_requests);
  CHECK(records[0].value == 8);
  CHECK(records[1].kind == GossipRecord::Kind::worker_load);
  CHECK(records[1].tag == worker_tag(hash_of("a")));
  CHECK(records[1].value == 7);
  UNSCOPED_INFO("the largest value of a level");
  CHECK(records[2].value == 60);
  CHECK(records[3].kind == GossipRecord::Kind::worker_down);
  CHECK(records[3].tag == worker_tag(hash_of("c")));
}

TEST_CASE("Gossip: messages stay within the size limit of the protocol", "[gossip]") {
  GossipMessage message;
  message.add_own_requests(1);
  CHECK_FALSE(message.has_worker_records());
  while (message.has_space()) message.add_worker_load(1, 1);
  CHECK(message.has_worker_records());
  CHECK(message.text().size() == 240U);
}

TEST_CASE("Gossip: messages of any content are parsed", "[gossip]") {
  CHECK(parse_gossip("").empty());
  CHECK(parse_gossip("abc").empty());
  CHECK(parse_gossip("\xff\xfe\xfd\xfc#").size() == 1U);
}

}  // namespace
}  // namespace pathstack::policy::test

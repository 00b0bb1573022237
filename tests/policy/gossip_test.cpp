#include "policy/gossip.h"

#include <gtest/gtest.h>

#include "policy/hash.h"

namespace pathstack::policy::test {
namespace {

TEST(Gossip, IsReadAsItWasWritten) {
  GossipMessage message;
  message.add_own_calls(8);
  message.add_worker_load(hash_of("a"), 7);
  message.add_worker_load(hash_of("b"), 1000);
  const auto records = parse_gossip(message.text() + GossipMessage::worker_down(hash_of("c")));
  ASSERT_EQ(records.size(), 4U);
  EXPECT_EQ(records[0].kind, GossipRecord::Kind::own_calls);
  EXPECT_EQ(records[0].value, 8);
  EXPECT_EQ(records[1].kind, GossipRecord::Kind::worker_load);
  EXPECT_EQ(records[1].tag, worker_tag(hash_of("a")));
  EXPECT_EQ(records[1].value, 7);
  EXPECT_EQ(records[2].value, 60) << "the most that a level tells";
  EXPECT_EQ(records[3].kind, GossipRecord::Kind::worker_down);
  EXPECT_EQ(records[3].tag, worker_tag(hash_of("c")));
}

TEST(Gossip, StaysUnderTheLimitOfTheWire) {
  GossipMessage message;
  message.add_own_calls(1);
  EXPECT_FALSE(message.tells_of_workers());
  while (message.has_space()) message.add_worker_load(1, 1);
  EXPECT_TRUE(message.tells_of_workers());
  EXPECT_EQ(message.text().size(), 240U);
}

TEST(Gossip, OfAnyContentIsRead) {
  EXPECT_TRUE(parse_gossip("").empty());
  EXPECT_TRUE(parse_gossip("abc").empty());
  EXPECT_EQ(parse_gossip("\xff\xfe\xfd\xfc#").size(), 1U);
}

}  // namespace
}  // namespace pathstack::policy::test

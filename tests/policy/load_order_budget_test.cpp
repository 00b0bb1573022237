#include "policy/load_order_budget.h"

#include <gtest/gtest.h>

namespace pathstack::policy::test {
namespace {

class LoadOrderBudgetTest : public ::testing::Test {
 protected:
  LoadOrderBudgetTest() {
    settings.load_window = Millis(5000);
    settings.load_floor = 2;
    settings.load_ratio = 0.1;
  }
  int orders_allowed(Millis now) {
    int orders = 0;
    for (; budget.allows_order(now); ++orders) budget.order_sent(now);
    return orders;
  }

  Settings settings;
  LoadOrderBudget budget{settings};
};

TEST_F(LoadOrderBudgetTest, IsAFloorAndARatioOfTheRequestsOfTheWindow) {
  EXPECT_EQ(orders_allowed(Millis(0)), 2);
  for (int i = 0; i < 30; ++i) budget.request_arrived(Millis(1000));
  EXPECT_EQ(orders_allowed(Millis(1000)), 3);
}

TEST_F(LoadOrderBudgetTest, FillsAsOrdersLeaveTheWindow) {
  EXPECT_EQ(orders_allowed(Millis(0)), 2);
  EXPECT_EQ(orders_allowed(Millis(5000)), 0) << "the window's end counts";
  EXPECT_EQ(orders_allowed(Millis(5001)), 2);
}

TEST_F(LoadOrderBudgetTest, AnOrderThatWasNotSentCountsForNothing) {
  EXPECT_EQ(orders_allowed(Millis(7)), 2);
  budget.order_not_sent(Millis(7));
  EXPECT_EQ(orders_allowed(Millis(8)), 1);
  budget.order_not_sent(Millis(999));
  EXPECT_EQ(orders_allowed(Millis(8)), 0);
}

TEST_F(LoadOrderBudgetTest, HasNoLimitWithoutAWindow) {
  settings.load_window = Millis(0);
  for (int i = 0; i < 1000; ++i) budget.order_sent(Millis(0));
  EXPECT_TRUE(budget.allows_order(Millis(0)));
}

}  // namespace
}  // namespace pathstack::policy::test

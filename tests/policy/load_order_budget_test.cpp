#include "policy/load_order_budget.h"

#include <catch2/catch.hpp>

namespace pathstack::policy::test {
namespace {

class LoadOrderBudgetTest {
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

TEST_CASE_METHOD(LoadOrderBudgetTest,
                 "LoadOrderBudget: the limit is a floor plus a ratio of the requests in the window",
                 "[load-order-budget]") {
  CHECK(orders_allowed(Millis(0)) == 2);
  for (int i = 0; i < 30; ++i) budget.request_arrived(Millis(1000));
  CHECK(orders_allowed(Millis(1000)) == 3);
}

TEST_CASE_METHOD(LoadOrderBudgetTest, "LoadOrderBudget: the budget recovers as orders leave the window",
                 "[load-order-budget]") {
  CHECK(orders_allowed(Millis(0)) == 2);
  UNSCOPED_INFO("an order exactly one window old still counts");
  CHECK(orders_allowed(Millis(5000)) == 0);
  CHECK(orders_allowed(Millis(5001)) == 2);
}

TEST_CASE_METHOD(LoadOrderBudgetTest, "LoadOrderBudget: an order that was not sent no longer counts",
                 "[load-order-budget]") {
  CHECK(orders_allowed(Millis(7)) == 2);
  budget.order_not_sent(Millis(7));
  CHECK(orders_allowed(Millis(8)) == 1);
  budget.order_not_sent(Millis(999));
  CHECK(orders_allowed(Millis(8)) == 0);
}

TEST_CASE_METHOD(LoadOrderBudgetTest, "LoadOrderBudget: without a window there is no limit",
                 "[load-order-budget]") {
  settings.load_window = Millis(0);
  for (int i = 0; i < 1000; ++i) budget.order_sent(Millis(0));
  CHECK(budget.allows_order(Millis(0)));
}

}  // namespace
}  // namespace pathstack::policy::test

// Connections to hosts: which attempt goes over which one, and when load orders are written.
#include "helper.h"
#include "hosts/link.h"
#include "hosts/liveness.h"

namespace lotusyard::test {
namespace {

using Verdict = hosts::Liveness::Verdict;

TEST_CASE("a connection is checked when silent, ever later, and given up when a check is not answered") {
  hosts::Liveness liveness;
  liveness.connected(Millis(1000));
  liveness.sent(Millis(1000));
  CHECK(liveness.judge(Millis(1200), Millis(1000), 1) == Verdict::fine);
  CHECK(liveness.judge(Millis(1201), Millis(1000), 1) == Verdict::check_due);
  CHECK(liveness.judge(Millis(1400), Millis(4000), 1) == Verdict::fine);
  liveness.checked(Millis(1201));
  CHECK(liveness.judge(Millis(1451), Millis(1000), 1) == Verdict::fine);
  CHECK(liveness.judge(Millis(1452), Millis(1000), 1) == Verdict::silent);
  liveness.received(Millis(1300), false, true);
  CHECK(liveness.judge(Millis(1700), Millis(1000), 1) == Verdict::fine);
  CHECK(liveness.judge(Millis(1701), Millis(1000), 1) == Verdict::check_due);
  liveness.reset_backoff();
  CHECK(liveness.judge(Millis(1501), Millis(1000), 1) == Verdict::check_due);
  liveness.received(Millis(1600), true, false);
  CHECK(liveness.judge(Millis(1801), Millis(1000), 1) == Verdict::answer_cut_off);
}

}  // namespace
}  // namespace lotusyard::test

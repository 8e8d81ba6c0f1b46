#include <boost/test/unit_test.hpp>

#include <limits>

#include <snipepost/Admission/AcceptedFlows.h>
#include <snipepost/Admission/AdaptiveLimit.h>
#include <snipepost/Admission/ColdRamp.h>
#include <snipepost/Admission/Lease.h>
#include <snipepost/Admission/RetryBudget.h>

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };

} // namespace

BOOST_AUTO_TEST_SUITE(LimitTest)

BOOST_AUTO_TEST_CASE(P3_ColdStart_RampIsLinear)
{
  const ColdRamp ramp(4, 30s, kStart);
  BOOST_TEST(ramp.Limit(kStart) == 1U);
  BOOST_TEST(ramp.Limit(kStart + 9s) == 1U);
  BOOST_TEST(ramp.Limit(kStart + 10s) == 2U);
  BOOST_TEST(ramp.Limit(kStart + 29s) == 3U);
  BOOST_TEST(ramp.Limit(kStart + 30s) == 4U);
  BOOST_TEST(ramp.Limit(*ramp.NextStep(kStart)) == 2U);
  BOOST_TEST(!ramp.NextStep(kStart + 30s).has_value());
}

// Guards against a division by zero when a service has one slot or no ramp.
BOOST_AUTO_TEST_CASE(RampOfOneSlotOrNoTimeIsComplete)
{
  BOOST_TEST(!ColdRamp(1, 20s, kStart).IsCold(kStart));
  BOOST_TEST(ColdRamp(4, 0s, kStart).Limit(kStart) == 4U);
  BOOST_TEST(ColdRamp(0, 20s, kStart).Limit(kStart) == 1U);
}

// Guards against wrong reports that raise the limit or stop all requests.
BOOST_AUTO_TEST_CASE(P3_WrongReport_OnlyLowersTheLimit)
{
  ColdRamp ramp(4, 20s, kStart);
  ramp.ReportWarmth(1.0, kStart);
  ramp.ReportSlots(100, kStart);
  BOOST_TEST(ramp.Limit(kStart) == 1U);
  const Instant warm = kStart + 20s;
  ramp.ReportWarmth(0.5, warm);
  BOOST_TEST(ramp.Limit(warm) == 2U);
  ramp.ReportWarmth(std::numeric_limits<double>::quiet_NaN(), warm);
  ramp.ReportWarmth(7.0, warm);
  BOOST_TEST(ramp.Limit(warm) == 2U);
  ramp.ReportWarmth(0.0, warm);
  ramp.ReportSlots(0, warm);
  BOOST_TEST(ramp.Limit(warm) == 1U);
  BOOST_TEST(ramp.Limit(warm + 10s) == 4U);
}

BOOST_AUTO_TEST_CASE(OverloadHalvesTheLimitAndResponsesRestoreIt)
{
  AdaptiveLimit limit(4);
  limit.OnOverload(kStart, kStart + 1s);
  BOOST_TEST(limit.Limit() == 2U);
  // Forwarded before the decrease, so it is ignored.
  limit.OnOverload(kStart, kStart + 2s);
  BOOST_TEST(limit.Limit() == 2U);
  limit.OnSuccess(1);
  BOOST_TEST(limit.Limit() == 2U);
  for (int i = 0; i < 100; ++i) {
    limit.OnSuccess(limit.Limit());
  }
  BOOST_TEST(limit.Limit() == 4U);
  for (int i = 3; i < 20; ++i) {
    limit.OnOverload(kStart + i * 1s, kStart + i * 1s);
  }
  BOOST_TEST(limit.Limit() == 1U);
}

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheirShare)
{
  RetryBudget budget(RetryOptions{});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  BOOST_TEST(retries >= 99);
  BOOST_TEST(retries <= 101);
}

BOOST_AUTO_TEST_CASE(FlowsBeyondTheBoundAreNotOpened)
{
  AcceptedFlows flows(2);
  BOOST_TEST(flows.Open(FlowId(1), kStart));
  BOOST_TEST(flows.Open(FlowId(2), kStart));
  BOOST_TEST(flows.Open(FlowId(2), kStart));
  BOOST_TEST(!flows.Open(FlowId(3), kStart));
  flows.Close(FlowId(1));
  BOOST_TEST(flows.Open(FlowId(3), kStart));
}

// P10 (docs/design.md, section 7): an agent must continue to serve while the
// store is out of service, but an agent that was paused must not rely on
// confirmations from before the pause.
BOOST_AUTO_TEST_CASE(LeaseIsValidDuringAStoreOutageWhileConfirmed)
{
  Lease lease(LeaseOptions{});
  BOOST_TEST(!lease.IsValid(kStart));
  lease.Update(kStart + 90s, false);
  BOOST_TEST(lease.IsValid(kStart + 89s));
  BOOST_TEST(!lease.IsValid(kStart + 90s));
  lease.Confirm(kStart + 91s);
  BOOST_TEST(!lease.IsValid(kStart + 91s));
  lease.Update(kStart + 90s, true);
  BOOST_TEST(lease.IsValid(kStart + 93s));
  BOOST_TEST(!lease.IsValid(kStart + 94s));
}

BOOST_AUTO_TEST_SUITE_END()

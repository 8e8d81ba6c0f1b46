#include <boost/test/unit_test.hpp>

#include <cmath>

#include <snipepost/Base/Random.h>
#include <snipepost/Flow/CallerShares.h>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

constexpr CallerIp kHeavy{ 0x64400001 };
constexpr CallerIp kLight{ 0x64400002 };
constexpr double kRefused = .5;

/// Mean refusal probability of the flows of aCallers callers, which arrive
/// independently of each other at aPerSecond in total for 500 s.
double
MeanRefusal(size_t aCallers, double aPerSecond)
{
  Random random(1);
  CallerShares shares(1);
  double refused = 0.0;
  size_t flows = 0;
  for (Instant now{ 10s }; now < Instant{ 510s }; now += 1ms) {
    if (random.Chance(aPerSecond / 1000.0)) {
      const CallerIp caller(static_cast<uint32_t>(random.Below(aCallers)));
      refused += shares.RefusalProbability(caller, kRefused, now);
      shares.OnFlow(caller, now);
      ++flows;
    }
  }
  return refused / static_cast<double>(flows);
}

/// For 2 s, a flow of kHeavy each millisecond and one of kLight every 10 ms.
/// Returns the end.
Instant
AddFlows(CallerShares& aShares)
{
  Instant now{ 10s };
  for (int i = 0; i < 2000; ++i, now += 1ms) {
    aShares.OnFlow(kHeavy, now);
    if (i % 10 == 0) {
      aShares.OnFlow(kLight, now);
    }
  }
  return now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerSharesTest)

// Guards against a total that depends on the number of callers and their rates,
// and against counts that exceed their range in a long run.
BOOST_AUTO_TEST_CASE(TheRefusedShareOfAllFlowsIsKept)
{
  for (const size_t callers : { 1, 3, 30, 3000 }) {
    for (const double perSecond : { 5.0, 30.0, 200.0 }) {
      BOOST_TEST(std::abs(MeanRefusal(callers, perSecond) - kRefused) < .01);
    }
    // Pauses of a second, after which nothing is known, are frequent.
    BOOST_TEST(std::abs(MeanRefusal(callers, 1.0) - kRefused) < .07);
  }
}

// Guards against a caller that is refused because of another, and against one
// that gets less than the fair share.
BOOST_AUTO_TEST_CASE(OnlyTheHeavyCallerIsRefused)
{
  CallerShares shares(1);
  const Instant now = AddFlows(shares);
  BOOST_TEST(shares.RefusalProbability(kLight, kRefused, now) == 0.0);
  // 550 of 1,100 flows a second are refused, all of them of this caller.
  BOOST_TEST(std::abs(shares.RefusalProbability(kHeavy, kRefused, now) - .55) <
             .01);
  BOOST_TEST(shares.RefusalProbability(kHeavy, 0.0, now) == 0.0);
}

// Guards against two callers that share a bucket at every instance.
BOOST_AUTO_TEST_CASE(CallersShareABucketAtFewInstances)
{
  size_t refused = 0;
  for (uint64_t seed = 1; seed <= 640; ++seed) {
    CallerShares shares(seed);
    const Instant now = AddFlows(shares);
    refused += shares.RefusalProbability(kLight, kRefused, now) > 0.0;
  }
  BOOST_TEST(refused > 0U);
  BOOST_TEST(refused < 20U);
}

// Guards against an instance that refuses a caller because of what it knew
// before it was frozen.
BOOST_AUTO_TEST_CASE(CountsOlderThanASecondHaveNoEffect)
{
  CallerShares shares(1);
  const Instant now = AddFlows(shares) + 1001ms;
  BOOST_TEST(shares.RefusalProbability(kHeavy, kRefused, now) == kRefused);
  shares.OnFlow(kLight, now);
  BOOST_TEST(shares.RefusalProbability(kHeavy, kRefused, now) <=
             shares.RefusalProbability(kLight, kRefused, now));
}

// Guards against a level from before a burst of all callers, for example after
// an outage: most of the burst would be refused.
BOOST_AUTO_TEST_CASE(ABurstOfAllCallersIsRefusedAtTheSameRate)
{
  CallerShares shares(1);
  const Instant end = AddFlows(shares);
  double refused = 0.0;
  for (int i = 0; i < 4400; ++i) {
    const CallerIp caller = i % 11 == 0 ? kLight : kHeavy;
    const Instant now = end + i * 1us;
    refused += shares.RefusalProbability(caller, kRefused, now) / 4400;
    shares.OnFlow(caller, now);
  }
  BOOST_TEST(std::abs(refused - kRefused) < .01);
}

BOOST_AUTO_TEST_SUITE_END()

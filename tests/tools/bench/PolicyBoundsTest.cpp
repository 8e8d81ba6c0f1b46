#include <boost/test/unit_test.hpp>

#include "Overload.h"

using namespace snipepost::bench;
using namespace std::chrono_literals;

namespace {

size_t
ColdOverloads(ModelScenario aScenario, bool aRamp, uint64_t aSeed)
{
  ModelOptions options{
    .mSite = kCorrib, .mScenario = aScenario, .mSeed = aSeed, .mLength = 20s
  };
  options.mAgent.mSafeguards.mColdRamp = aRamp;
  return RunPolicyModel(options).mColdOverloads;
}

} // namespace

// Guards against slots that are occupied under overload by requests whose
// responses come too late.
BOOST_AUTO_TEST_CASE(Overload_UsefulSlotTimeStaysNearPeak)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ShareOfPeak(Figure::GoodWork, seed) >= kMinShareOfPeak);
  }
}

// Guards against bulk requests that occupy the slots needed by submissions.
BOOST_AUTO_TEST_CASE(Overload_BulkYieldsToSubmissions)
{
  const Figures figures = RunSteady(3.0, 1);
  BOOST_TEST(figures[static_cast<size_t>(Figure::GoodSubmissions)] >
             figures[static_cast<size_t>(Figure::GoodBulk)]);
}

// Guards against a cold server that receives more requests than it can handle.
BOOST_AUTO_TEST_CASE(P3_DomainReturns_ColdServersAreNotOverloaded)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ColdOverloads(ModelScenario::DomainLeaves, true, seed) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(P3_RollingRestart_ColdServersAreNotOverloaded)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ColdOverloads(ModelScenario::RollingRestart, true, seed) == 0U);
  }
}

// Guards against a model that doesn't detect a missing cold ramp.
BOOST_AUTO_TEST_CASE(P3_NoRamp_OverloadsAreCounted)
{
  BOOST_TEST(ColdOverloads(ModelScenario::RollingRestart, false, 1) > 0U);
}

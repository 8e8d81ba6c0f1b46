#include <boost/test/unit_test.hpp>

#include "Overload.h"

using namespace snipepost::bench;
using namespace std::chrono_literals;

namespace {

size_t
ColdOverloads(Situation aSituation, bool aRamp, uint64_t aSeed)
{
  ModelOptions options{
    .mSite = kCorrib, .mSituation = aSituation, .mSeed = aSeed, .mLength = 20s
  };
  options.mAgent.mSafeguards.mColdRamp = aRamp;
  return RunPolicyModel(options).mColdOverloads;
}

} // namespace

// Guards against an overload in which slots run work that is of no use.
BOOST_AUTO_TEST_CASE(Overload_UsefulSlotTimeStaysNearPeak)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ShareOfPeak(Figure::GoodWork, seed) >= kLeastShareOfPeak);
  }
}

// Guards against bulk transfers that keep submissions from their slots.
BOOST_AUTO_TEST_CASE(Overload_BulkYieldsToSubmissions)
{
  const Figures figures = RunSteady(3.0, 1);
  BOOST_TEST(figures[static_cast<size_t>(Figure::GoodSubmissions)] >
             figures[static_cast<size_t>(Figure::GoodBulk)]);
}

// Guards against a cold server that gets more requests than it bears.
BOOST_AUTO_TEST_CASE(P3_DomainReturns_ColdServersAreNotOverloaded)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ColdOverloads(Situation::DomainLeaves, true, seed) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(P3_RollingRestart_ColdServersAreNotOverloaded)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ColdOverloads(Situation::RollingCold, true, seed) == 0U);
  }
}

// Guards against a model that can't tell a missing ramp.
BOOST_AUTO_TEST_CASE(P3_NoRamp_OverloadsAreCounted)
{
  BOOST_TEST(ColdOverloads(Situation::RollingCold, false, 1) > 0U);
}

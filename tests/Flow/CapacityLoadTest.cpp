#include "tests/Flow/CapacityLoad.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

// Replays the loads of docs/design/capacity.md, part 2, at the model's size.
// The limits in the checks are the required values there; that of the 99th
// percentile among servers of two speeds is checked by PlacementLatencyTest.
BOOST_AUTO_TEST_SUITE(CapacityLoadTest)

// Guards against flows that are placed by the number of requests alone, which
// overloads slow servers while fast ones are idle.
BOOST_AUTO_TEST_CASE(HalfOfTheServersAreTwiceAsFast)
{
  for (const uint64_t seed : CapacityLoad::kSeeds) {
    const ModelOptions options = CapacityLoad::Options(seed, 2, { 1.0, 2.0 });
    const auto times = CapacityLoad::Run(options).mBusyTimes;
    const auto [least, most] = std::ranges::minmax(times);
    const Duration mean =
      std::accumulate(times.begin(), times.end(), Duration()) /
      CapacityLoad::kServers;
    const double slotTime =
      CapacityLoad::Seconds(CapacityLoad::kRunTime) * options.mSlots;
    BOOST_TEST_MESSAGE("seed "
                       << seed << ": utilisation "
                       << CapacityLoad::Seconds(least) / slotTime << " to "
                       << CapacityLoad::Seconds(most) / slotTime << ", mean "
                       << CapacityLoad::Seconds(mean) / slotTime);
    BOOST_TEST(CapacityLoad::Seconds(least) >=
               0.9 * CapacityLoad::Seconds(mean));
    BOOST_TEST(CapacityLoad::Seconds(most) <=
               1.1 * CapacityLoad::Seconds(mean));
  }
}

// Guards against long flows that are opened at slow servers, where all of their
// requests wait, when most of the callers use one failure domain.
BOOST_AUTO_TEST_CASE(LongFlowsWithAQuarterOfTheServersFourTimesSlower)
{
  for (const uint64_t seed : CapacityLoad::kSeeds) {
    ModelOptions options =
      CapacityLoad::Options(seed, 4, { 0.25, 1.0, 1.0, 1.0 });
    options.mMovedCallers = 80;
    options.mRoutes.front().mServiceTime = 47ms;
    options.mRoutes.back().mServiceTime = 61ms;
    for (ModelRoute& route : options.mRoutes) {
      route.mObjective = 400ms;
      route.mRequestsPerFlow = 12;
      route.mPause = 100ms;
    }
    const LoadResult result = CapacityLoad::Run(options);
    const RouteResult total = result.Total();
    const double late = 1.0 - static_cast<double>(total.mInTime) /
                                static_cast<double>(total.mRequestCount);
    const Duration latency = CapacityLoad::Percentile99(result.mLatencies);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << total.mRequestCount
                               << " requests, " << late << " late, "
                               << total.mFailed << " failed; 99th percentile "
                               << CapacityLoad::Seconds(latency) << " s");
    BOOST_TEST(late < 0.04);
    BOOST_TEST(CapacityLoad::Seconds(latency) < 0.9);
  }
}

BOOST_AUTO_TEST_SUITE_END()

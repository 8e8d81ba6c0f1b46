#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/Flow/CapacityLoad.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

/// Four passages between the caller and an instance, and the handshake.
constexpr Duration kNetworkTime = 12300us;

/// 99th percentile when a single instance that knows the speeds and the queue
/// of every server places each request where it is expected to end first.
Duration
BestPercentile99(const ModelOptions& aOptions)
{
  Random random(aOptions.mSeed);
  const Duration mean = aOptions.mRoutes.front().mServiceTime;
  const auto gap = std::chrono::duration_cast<Duration>(
    1s / CapacityLoad::RequestRate(aOptions));
  // By server, when each of its slots becomes free.
  std::vector<std::vector<Instant>> slots(
    CapacityLoad::kServers, std::vector<Instant>(aOptions.mSlots));
  std::vector<Duration> latencies;
  for (Instant now{}; now < Instant(CapacityLoad::kRunTime);
       now += random.Jittered(gap, 1.0)) {
    const auto serviceTime = [&](size_t aServer) {
      return std::chrono::duration_cast<Duration>(
        mean / aOptions.mSpeeds[aServer % aOptions.mSpeeds.size()]);
    };
    size_t best = 0;
    Instant soonest = Instant::max();
    for (size_t server = 0; server < CapacityLoad::kServers; ++server) {
      const Instant end =
        std::max(now, std::ranges::min(slots[server])) + serviceTime(server);
      if (end < soonest) {
        best = server;
        soonest = end;
      }
    }
    Instant& slot = *std::ranges::min_element(slots[best]);
    slot = std::max(now, slot) + random.Jittered(serviceTime(best), 0.5);
    latencies.push_back(slot - now + kNetworkTime);
  }
  return CapacityLoad::Percentile99(std::move(latencies));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementLatencyTest)

// Guards against requests that wait at one server while another one would
// complete them sooner. The limit is that of docs/design/capacity.md.
BOOST_AUTO_TEST_CASE(HalfOfTheServersAreTwiceAsFast)
{
  for (const uint64_t seed : CapacityLoad::kSeeds) {
    const ModelOptions options = CapacityLoad::Options(seed, 2, { 1.0, 2.0 });
    const LoadResult result = CapacityLoad::Run(options);
    const Duration latency = CapacityLoad::Percentile99(result.mLatencies);
    const Duration best = BestPercentile99(options);
    BOOST_TEST_MESSAGE("seed " << seed << ": 99th percentile "
                               << CapacityLoad::Seconds(latency) << " s, best "
                               << CapacityLoad::Seconds(best) << " s");
    BOOST_TEST(CapacityLoad::Seconds(latency) <=
               1.15 * CapacityLoad::Seconds(best));
  }
}

BOOST_AUTO_TEST_SUITE_END()

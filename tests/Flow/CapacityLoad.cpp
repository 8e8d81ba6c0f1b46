#include "tests/Flow/CapacityLoad.h"

#include <algorithm>
#include <numeric>

namespace snipepost::flow {

using namespace std::chrono_literals;

ModelOptions
CapacityLoad::Options(uint64_t aSeed,
                      uint32_t aSlots,
                      const std::vector<double>& aSpeeds)
{
  ModelOptions options;
  options.mEntries = 2 * kDomains;
  options.mServers = kServers;
  options.mSlots = aSlots;
  options.mQueue = 8;
  options.mSeed = aSeed;
  for (const double speed : aSpeeds) {
    options.mSpeeds.insert(options.mSpeeds.end(), kDomains, speed);
  }
  ModelRoute route;
  route.mServiceTime = 30ms;
  for (const uint32_t priority : { 1U, 2U }) {
    route.mAddress = { 0xc6120000 + priority, 443 };
    route.mPriority = priority;
    options.mRoutes.push_back(route);
  }
  return options;
}

double
CapacityLoad::RequestRate(const ModelOptions& aOptions)
{
  const auto& speeds = aOptions.mSpeeds;
  const double meanSpeed = std::accumulate(speeds.begin(), speeds.end(), 0.0) /
                           static_cast<double>(speeds.size());
  const Duration meanServiceTime = (aOptions.mRoutes.front().mServiceTime +
                                    aOptions.mRoutes.back().mServiceTime) /
                                   2;
  return kLoad * static_cast<double>(kServers * aOptions.mSlots) * meanSpeed /
         Seconds(meanServiceTime);
}

LoadResult
CapacityLoad::Run(const ModelOptions& aOptions)
{
  const ModelRoute& route = aOptions.mRoutes.front();
  const double perRoute = RequestRate(aOptions) / route.mRequestsPerFlow /
                          static_cast<double>(aOptions.mRoutes.size());
  const std::vector<double> rates(aOptions.mRoutes.size(), perRoute);
  FlowModel model(aOptions);
  return model.RunPhases({ { 10s, rates, {} }, { kRunTime, rates, {} } })[1];
}

Duration
CapacityLoad::Percentile99(std::vector<Duration> aTimes)
{
  const auto at =
    aTimes.begin() + static_cast<std::ptrdiff_t>(aTimes.size() * 99 / 100);
  std::ranges::nth_element(aTimes, at);
  return *at;
}

} // namespace snipepost::flow

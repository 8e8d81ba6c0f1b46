#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "tests/Flow/FlowModel.h"

namespace snipepost::flow {

/// A load below the capacity of servers that differ in speed.
struct CapacityLoad
{
  static constexpr size_t kServers = 24;
  static constexpr size_t kDomains = 3;
  /// Load as a share of the capacity of all servers.
  static constexpr double kLoad = 0.8;
  static constexpr Duration kRunTime = std::chrono::seconds(20);
  static constexpr std::array<uint64_t, 3> kSeeds = { 1, 2, 3 };

  /// Two routes of equal rates and different priorities. aSpeeds are the speeds
  /// of successive servers of each failure domain.
  static ModelOptions Options(uint64_t aSeed,
                              uint32_t aSlots,
                              const std::vector<double>& aSpeeds);
  /// Requests per second of all routes.
  static double RequestRate(const ModelOptions& aOptions);
  /// Results after the estimates have settled.
  static LoadResult Run(const ModelOptions& aOptions);

  static double Seconds(Duration aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }
  static Duration Percentile99(std::vector<Duration> aTimes);
};

} // namespace snipepost::flow

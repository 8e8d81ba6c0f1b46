#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// Settings of an entry instance.
struct EntryOptions
{
  std::string mDomain;
  /// Maximum lifetime of a flow.
  Duration mFlowLimit = std::chrono::seconds(60);
  /// Agents may hold SYNs, and new flows are throttled during overload, for
  /// services whose routes have different priorities.
  bool mScheduleFlows = true;
  /// A flow that the service chosen by the weights of its route has no capacity
  /// for is offered to the other services of the route.
  bool mOverflowBetweenServices = true;
  /// Seed of the random numbers that decide which flows are throttled, and of
  /// the hash by which callers are counted; differs between instances.
  uint64_t mSeed = 1;
};

} // namespace snipepost::flow

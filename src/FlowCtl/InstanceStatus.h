#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <snipepost/Base/Address.h>

namespace snipepost::flowctl {

/// Length of time as the status of an instance states it.
using Milliseconds = std::chrono::duration<double, std::milli>;

/// The capacity of an agent's backend server.
struct AgentCapacity
{
  std::string mService;
  uint64_t mSlots = 0;
  /// Requests that the server processes or queues.
  uint64_t mRequests = 0;
  /// Flows that wait at the agent.
  uint64_t mWaiting = 0;
  /// Mean time that a request occupies a slot; nothing while it is not known.
  std::optional<Milliseconds> mServiceTime;
};

/// The flows to a route that an entry instance refused in the last 10 s.
struct RouteRefusals
{
  /// The services that the route sends new flows to.
  std::vector<std::string> mServices;
  std::map<std::string, uint64_t> mFlowsByReason;
};

/// The status that an instance reports.
struct InstanceStatus
{
  std::string mName;
  std::string mRole;
  std::string mDomain;
  uint64_t mConfigVersion = 0;
  uint64_t mBackendCount = 0;
  bool mWatching = false;
  bool mStoreReachable = false;
  std::vector<std::string> mEvacuated;
  /// IP addresses of the entry instances and agents that it reports.
  std::vector<std::string> mPeers;
  /// Nothing for entry instances, and for agents of the previous version.
  std::optional<AgentCapacity> mCapacity;
  /// Nothing for agents, and for entry instances of the previous version.
  std::optional<std::vector<RouteRefusals>> mRefused;
};

/// The instances that were queried, by internal address; nothing for those
/// without a valid response.
using InstanceStatuses = std::map<Address, std::optional<InstanceStatus>>;

/// Decodes the response of an instance; nothing when it is malformed. Capacity
/// and refusals that are malformed are left out.
std::optional<InstanceStatus>
DecodeStatus(std::string_view aBody);

} // namespace snipepost::flowctl

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/FlowCtl/InstanceStatus.h"

namespace snipepost::flowctl {

/// An agent whose requests take much longer than those of the other agents of
/// its service.
struct SlowAgent
{
  Address mAddress;
  std::string mName;
  Milliseconds mServiceTime{};
};

/// The load of a service and what is refused of it, summed over the instances.
struct ServiceReport
{
  /// Agents that report their capacity.
  size_t mAgents = 0;
  uint64_t mSlots = 0;
  uint64_t mRequests = 0;
  uint64_t mWaiting = 0;
  /// Mean over the agents that know theirs; nothing when none does.
  std::optional<Milliseconds> mServiceTime;
  /// Flows refused in the last 10 s, by reason.
  std::map<std::string, uint64_t> mRefused;
  std::vector<SlowAgent> mSlowAgents;

  /// True while flows are refused or held.
  bool IsShort() const { return mWaiting > 0 || !mRefused.empty(); }
};

/// The services that the instances report, by name; "-" stands for those of
/// routes that were removed. The flows that were refused on a route with
/// several services count for each of them, because none had capacity. Agents
/// are slow when their service time is at least twice the median of the
/// service; none is while fewer than 4 service times are known.
std::map<std::string, ServiceReport>
ReportServices(const InstanceStatuses& aInstances);

/// Formats a table of the services, their slow agents, and the instances that
/// report neither capacity nor refusals. Sets aShort to true when a service is
/// short of capacity; instances without a report don't.
std::string
OverloadText(const InstanceStatuses& aInstances, bool& aShort);

} // namespace snipepost::flowctl

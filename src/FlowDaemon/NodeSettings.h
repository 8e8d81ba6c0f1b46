#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Settings/Schema.h>

namespace snipepost {

/// Whether flows of services whose routes have different priorities are
/// scheduled by priority.
enum class FlowScheduling : uint8_t
{
  Off,
  On,
};

/// Parses "yes" or "no".
std::string
Value(const std::string& aText, FlowScheduling& aOut);

/// Whether a flow that the service chosen by the weights of its route has no
/// capacity for is offered to the other services of the route.
enum class ServiceOverflow : uint8_t
{
  Off,
  On,
};

/// Parses "yes" or "no".
std::string
Value(const std::string& aText, ServiceOverflow& aOut);

/// Settings of snipepost-flowd.
struct NodeSettings
{
  cluster::NodeRole mRole = cluster::NodeRole::Entry;
  std::string mSettingsFile;
  std::string mName;
  std::string mDomain;
  /// Address where packets of callers (entry) or of entry instances (agent)
  /// arrive.
  Address mPackets;
  /// Address where other instances reach this one; empty when it is mPackets.
  std::optional<Address> mAdvertised;
  Address mReadiness;
  /// Address where the backend server sends its heartbeats; agents only.
  std::optional<Address> mControl;
  /// Address of the agent to which the backend server sends its packets; agents
  /// only.
  std::optional<Address> mOutbound;
  /// Address where the backend server receives packets; agents only.
  std::optional<Address> mBackend;
  std::string mService;
  std::vector<Address> mSeeds;
  /// UDP and TCP port for messages between instances, the same on all of them.
  uint64_t mInternalPort = 0;
  uint64_t mMetricsPort = 0;
  Address mStore;
  /// Maximum lifetime of a flow.
  std::chrono::milliseconds mFlowLimit{};
  /// Time after which an evacuated failure domain receives no more packets.
  std::chrono::milliseconds mEvacuationLimit{};
  /// How long a stopping entry instance continues to forward packets, and a
  /// stopping agent waits at most for its flows to end.
  std::chrono::milliseconds mStopDelay{};
  FlowScheduling mScheduleFlows = FlowScheduling::On;
  /// Entry instances only.
  ServiceOverflow mOverflowBetweenServices = ServiceOverflow::On;
  /// Log lines a second; further lines are dropped and counted.
  uint64_t mLogRate = 0;

  /// The address that identifies this instance to others.
  const Address& Identity() const
  {
    return mAdvertised ? *mAdvertised : mPackets;
  }
};

namespace cluster {
/// Parses "entry" or "agent".
std::string
Value(const std::string& aText, NodeRole& aOut);
} // namespace cluster

const Schema<NodeSettings>&
NodeSchema();

/// Errors for settings that the role requires and that are missing, and for
/// ports out of range; empty when there are none.
std::vector<std::string>
MissingSettings(const NodeSettings& aSettings);

/// Reads the settings file, the environment and the flags.
SettingsReport
LoadNodeSettings(const std::vector<std::string>& aArguments,
                 const Environment& aEnvironment,
                 NodeSettings& aOut);

} // namespace snipepost

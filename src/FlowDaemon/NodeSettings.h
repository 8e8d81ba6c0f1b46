#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Settings/Schema.h>

namespace snipepost {

/// Settings of snipepost-flowd.
struct NodeSettings
{
  cluster::NodeRole mRole = cluster::NodeRole::Entry;
  std::string mSettingsFile;
  std::string mName;
  std::string mDomain;
  /// Where packets of callers (entry) or of entry instances (agent) arrive.
  Address mPackets;
  /// Where other instances reach this one; empty when it is mPackets.
  std::optional<Address> mAdvertised;
  Address mReadiness;
  /// Where the backend server sends its heartbeats; agents only.
  std::optional<Address> mControl;
  /// Where the backend server sends its packets; agents only.
  std::optional<Address> mOutbound;
  /// Where the backend server takes packets; agents only.
  std::optional<Address> mBackend;
  std::string mService;
  std::vector<Address> mSeeds;
  /// UDP and TCP port of the exchange between nodes, the same on all of them.
  uint64_t mInternalPort = 0;
  uint64_t mMetricsPort = 0;
  Address mStore;
  /// A flow is not kept for longer.
  std::chrono::milliseconds mFlowLimit{};
  /// An evacuated failure domain gets nothing after this time.
  std::chrono::milliseconds mEvacuationLimit{};
  /// How long a stopping entry instance goes on forwarding.
  std::chrono::milliseconds mStopDelay{};
  /// Log lines a second; the rest is counted.
  uint64_t mLogRate = 0;

  /// The address by which other instances know this one.
  const Address& Identity() const
  {
    return mAdvertised ? *mAdvertised : mPackets;
  }
};

/// Parses "entry" or "agent".
namespace cluster {
std::string
Value(const std::string& aText, NodeRole& aOut);
} // namespace cluster

const Schema<NodeSettings>&
NodeSchema();

/// What a role needs beyond the parsers' checks; empty when all is there.
std::vector<std::string>
MissingSettings(const NodeSettings& aSettings);

/// Reads the settings file, the environment and the flags.
SettingsReport
LoadNodeSettings(const std::vector<std::string>& aArguments,
                 const Environment& aEnvironment,
                 NodeSettings& aOut);

} // namespace snipepost

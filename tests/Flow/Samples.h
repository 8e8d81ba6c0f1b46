#pragma once

#include <string>
#include <vector>

#include <snipepost/Cluster/Replica.h>
#include <snipepost/Flow/Decision.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

constexpr Address kService{ 0xc6120001, 443 };
constexpr Address kCaller{ 0x64400007, 40001 };

inline Address
AgentAddress(size_t aIndex)
{
  return { 0x0a010000U + static_cast<uint32_t>(aIndex), 8172 };
}

/// Version of a sample configuration whose requests are not idempotent.
constexpr uint64_t kUnsafeVersion = 100;

/// Version of a sample configuration that sends a tenth of the flows to another
/// service.
constexpr uint64_t kSplitVersion = 200;

/// A configuration whose version is the number in aText. Even versions contain
/// the route to kService.
inline std::optional<cluster::RouteConfig>
DecodeSampleConfig(std::string_view aText)
{
  cluster::RouteConfig config;
  config.mVersion = cluster::ConfigVersion(std::stoull(std::string(aText)));
  cluster::Route route;
  route.mAddress = kService;
  route.mKind = config.mVersion.Value() == kUnsafeVersion
                  ? cluster::RequestKind::Unsafe
                  : cluster::RequestKind::Safe;
  route.mObjective = std::chrono::milliseconds(200);
  route.mTimeout = std::chrono::milliseconds(2500);
  route.mServices = { { "desk", 1 } };
  if (config.mVersion.Value() == kSplitVersion) {
    route.mServices = { { "library", 10 }, { "desk", 90 } };
  }
  if (config.mVersion.Value() % 2 == 0) {
    config.mRoutes[kService] = route;
  }
  config.mServices["desk"].mMaxFlows = 2000;
  return config;
}

/// Fills a replica with aServers backend servers in aDomains failure domains,
/// which are named a, b, c and so on. The last aSplitServers are of the service
/// library, and the configuration is kSplitVersion if there are any.
inline void
FillReplica(cluster::Replica& aReplica,
            size_t aServers,
            size_t aDomains,
            uint32_t aSlots,
            size_t aSplitServers = 0)
{
  using cluster::Part;
  using cluster::Revision;
  const uint64_t version = aSplitServers > 0 ? kSplitVersion : 2;
  aReplica.ApplySnapshot(
    Part::Routes,
    { Revision(1), { { "main", Revision(1), std::to_string(version) } } });
  aReplica.ApplySnapshot(Part::Evacuations, { Revision(1), {} });
  cluster::Snapshot snapshot;
  snapshot.mRevision = Revision(1);
  for (size_t i = 0; i < aServers; ++i) {
    cluster::BackendRecord record;
    record.mService = i + aSplitServers < aServers ? "desk" : "library";
    record.mAgent = AgentAddress(i);
    record.mDomain = std::string(1, static_cast<char>('a' + i % aDomains));
    record.mSlots = aSlots;
    snapshot.mObjects.push_back({ cluster::RecordName(record.mAgent),
                                  Revision(1),
                                  cluster::EncodeRecord(record) });
  }
  aReplica.ApplySnapshot(Part::Backends, snapshot);
}

inline Packet
SynPacket(const Address& aCaller,
          uint32_t aSequence,
          uint32_t aRetransmission = 0)
{
  Packet packet;
  packet.mSource = aCaller;
  packet.mDestination = kService;
  packet.mSequence = aSequence;
  packet.mAcknowledgement = aRetransmission;
  packet.mSyn = true;
  return packet;
}

inline Packet
CallerData(const Address& aCaller, uint32_t aAck, uint16_t aLength = 0)
{
  Packet packet;
  packet.mSource = aCaller;
  packet.mDestination = kService;
  packet.mAck = true;
  packet.mAcknowledgement = aAck;
  packet.mLength = aLength;
  return packet;
}

/// Records the decisions.
class FakeDecisions final : public DecisionSink
{
public:
  void OnDecision(const Decision& aDecision) override
  {
    mDecisions.push_back(aDecision);
  }
  size_t Count(Verdict aVerdict) const
  {
    size_t count = 0;
    for (const Decision& decision : mDecisions) {
      count += decision.mVerdict == aVerdict;
    }
    return count;
  }

  std::vector<Decision> mDecisions;
};

} // namespace snipepost::flow

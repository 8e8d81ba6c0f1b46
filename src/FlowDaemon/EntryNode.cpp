#include "src/FlowDaemon/EntryNode.h"

#include <algorithm>
#include <cstring>

#include "platform/HeartbeatCodec.h"
#include "platform/PacketCodec.h"

namespace snipepost {

namespace {

constexpr Duration kExpiryInterval = std::chrono::milliseconds(500);
/// Interval of the writes that remove dead records; only the few instances that
/// watch the store do so.
constexpr Duration kRemovalInterval = std::chrono::seconds(2);

flow::EntryOptions
CoreOptions(const NodeSettings& aSettings)
{
  flow::EntryOptions options;
  options.mDomain = aSettings.mDomain;
  options.mFlowLimit = aSettings.mFlowLimit;
  options.mScheduleFlows = aSettings.mScheduleFlows == FlowScheduling::On;
  options.mOverflowBetweenServices =
    aSettings.mOverflowBetweenServices == ServiceOverflow::On;
  options.mSeed = aSettings.Identity().mIp;
  return options;
}

/// The services that a route sends new flows to; none for a removed route.
boost::json::array
ServicesOf(const Address& aRoute, const cluster::RouteConfig& aConfig)
{
  boost::json::array services;
  const auto route = aConfig.mRoutes.find(aRoute);
  if (route == aConfig.mRoutes.end()) {
    return services;
  }
  for (const cluster::WeightedService& share : route->second.mServices) {
    if (share.mWeight > 0) {
      services.emplace_back(share.mService);
    }
  }
  return services;
}

/// The name of a route in the status.
std::string
RouteName(const RecentRefusals::RouteCount& aCount)
{
  return aCount.mRoute.IsNull() ? std::string(RecentRefusals::kOther)
                                : ToString(aCount.mRoute);
}

} // namespace

EntryNode::EntryNode(asio::io_context& aContext, Node& aNode)
  : mNode(aNode)
  , mCore(CoreOptions(aNode.Settings()),
          aNode.State(),
          *this,
          aNode,
          aNode.Now())
  , mSocket(aContext, aNode.Settings().mPackets)
  , mReadinessServer(aContext,
                     aNode.Settings().mReadiness,
                     [this](const http1::Request& aRequest) {
                       return OnReadinessProbe(aRequest);
                     })
  , mDeadlines(aContext, [this] {
    mSocket.Drain();
    mCore.OnTimer(mNode.Now());
    FinishBatch();
  })
{
  mSocket.Start(*this);
}

http1::Response
EntryNode::OnReadinessProbe(const http1::Request& aRequest)
{
  if (!platform::IsReadinessProbe(aRequest)) {
    return { 404, {} };
  }
  // Without the shared state no packet could be forwarded.
  const bool ready = !mStopping && mNode.State().Complete();
  return { ready ? 200U : 503U, {} };
}

void
EntryNode::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  // Agents send messages to the same socket. Only replies with waits are as
  // long as a packet; they are not valid packets while a server has at most 511
  // slots.
  if (aBytes.size() < platform::kPacketHeaderSize) {
    mNode.OnDatagram(aBytes, aFrom);
    return;
  }
  const auto packet = platform::DecodePacket(aBytes);
  if (!packet && flow::DecodeMessage(aBytes)) {
    mNode.OnDatagram(aBytes, aFrom);
    return;
  }
  mNode.Metrics().mPacketsIn.Add();
  if (!packet || packet->mReturned) {
    mNode.Metrics().mMalformedPackets.Add();
    return;
  }
  mCore.OnCallerPacket(*packet, aBytes, mNode.Now());
}

void
EntryNode::OnBatchEnd()
{
  FinishBatch();
}

void
EntryNode::OnMessagesHandled()
{
  FinishBatch();
}

void
EntryNode::FinishBatch()
{
  mSocket.Flush();
  mNode.Flush();
  mDeadlines.Arm(mCore.NextDeadline(), mNode.Now());
}

void
EntryNode::OnOfferReply(cluster::NodeIp aFrom, const flow::OfferReply& aReply)
{
  mCore.OnOfferReply(aFrom, aReply, mNode.Now());
}

void
EntryNode::OnOwnerNotice(cluster::NodeIp aFrom,
                         const flow::OwnerNotice& aNotice)
{
  mCore.OnOwnerNotice(aFrom, aNotice, mNode.Now());
}

void
EntryNode::OnOwnerExclusion(cluster::NodeIp aFrom,
                            const flow::OwnerExclusion& aExclusion)
{
  mCore.OnOwnerExclusion(aFrom, aExclusion, mNode.Now());
}

void
EntryNode::OnReplicaChanged(cluster::Part aPart)
{
  mCore.OnReplicaChanged(aPart, mNode.Now());
  FinishBatch();
}

void
EntryNode::OnTick()
{
  const Instant now = mNode.Now();
  if (now >= mNextExpiry) {
    mNextExpiry = now + kExpiryInterval;
    mCore.Expire(now);
    mNode.Metrics().mFlows.Set(static_cast<double>(mCore.FlowCount()));
  }
  if (mNode.Watching() && now >= mNextRemoval) {
    mNextRemoval = now + kRemovalInterval;
    RemoveDeadRecord();
  }
}

void
EntryNode::AddStatus(boost::json::object& aStatus)
{
  const auto config = mNode.State().Routes();
  boost::json::object routes;
  for (const auto& count : mNode.Refusals().Counts(mNode.Now())) {
    boost::json::value& route = routes[RouteName(count)];
    if (route.is_null()) {
      route = { { "services", ServicesOf(count.mRoute, *config) },
                { "reasons", boost::json::object() } };
    }
    route.at("reasons").as_object()[count.mReason] = count.mFlows;
  }
  aStatus["refused"] = std::move(routes);
}

void
EntryNode::RemoveDeadRecord()
{
  const auto names = mCore.DeadRecords(mNode.Now());
  // A retained record is not stored.
  const auto found =
    std::ranges::find_if(names, [this](const std::string& aName) {
      return !mNode.State().Retained(cluster::Part::Backends, aName);
    });
  if (found == names.end()) {
    return;
  }
  const std::string& name = *found;
  const auto stored = mNode.State().FindObject(cluster::Part::Backends, name);
  if (!stored) {
    return;
  }
  cluster::RecordWrite write;
  write.mAction = cluster::RecordWrite::Action::Remove;
  write.mExpected = stored->mRevision;
  mNode.Store().Write(name, write, [this, name](cluster::WriteResult aResult) {
    mNode.OnStoreEpoch(aResult.mEpoch);
    mNode.Log().Write(
      "dead-record-cleared",
      { { "record", name },
        { "outcome", std::string(ToString(aResult.mOutcome)) } });
  });
}

void
EntryNode::SendToAgent(std::span<const uint8_t> aBytes,
                       const Address& aAgent,
                       uint32_t aServiceTag,
                       flow::TransitMark aMark,
                       bool aReadsWaits)
{
  const auto out = mSocket.Reserve();
  std::memcpy(out.data(), aBytes.data(), aBytes.size());
  platform::WriteTransitFields(
    out.first(aBytes.size()), aServiceTag, aMark, aReadsWaits);
  mSocket.Commit(aBytes.size(), aAgent);
  mNode.Metrics().mPacketsOut.Add();
}

void
EntryNode::SendReset(const flow::Packet& aPacket)
{
  const auto reset = platform::EncodeReset(aPacket);
  mSocket.Send(reset, { aPacket.mSource.mIp, mNode.Settings().mPackets.mPort });
}

} // namespace snipepost

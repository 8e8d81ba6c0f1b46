#include "src/FlowDaemon/AgentNode.h"

#include "platform/HeartbeatCodec.h"
#include "platform/PacketCodec.h"

namespace snipepost {

namespace {

constexpr Duration kExpiryInterval = std::chrono::milliseconds(500);
/// A backend server that has sent no heartbeat for this long, two intervals or
/// more, may have ended.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(2500);
/// Interval of the checks whether a backend server that may have ended still
/// listens.
constexpr Duration kBackendCheckInterval = std::chrono::milliseconds(100);

flow::AgentOptions
MakeAgentOptions(const NodeSettings& aSettings)
{
  flow::AgentOptions options;
  options.mService = aSettings.mService;
  options.mDomain = aSettings.mDomain;
  options.mFlowLimit = aSettings.mFlowLimit;
  // The other half of the limit is the time that the evacuation may take to
  // reach this instance.
  options.mEvacuationGrace = aSettings.mEvacuationLimit / 2;
  options.mStartTime =
    static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count());
  options.mScheduleFlows = aSettings.mScheduleFlows == FlowScheduling::On;
  return options;
}

} // namespace

AgentNode::AgentNode(asio::io_context& aContext, Node& aNode)
  : mNode(aNode)
  , mCore(MakeAgentOptions(aNode.Settings()),
          aNode.State(),
          *this,
          aNode,
          aNode.Now())
  , mPublisher(cluster::RecordName(aNode.Settings().Identity()),
               aNode.Settings().Identity().mIp)
  , mBackendPacketHandler(*this)
  , mSocket(aContext, aNode.Settings().mPackets)
  , mBackendSocket(aContext, *aNode.Settings().mOutbound)
  , mControlServer(aContext,
                   *aNode.Settings().mControl,
                   [this](const http1::Request& aRequest) {
                     return OnControlCall(aRequest);
                   })
  , mReadinessServer(aContext,
                     aNode.Settings().mReadiness,
                     [](const http1::Request& aRequest) {
                       const bool isProbe =
                         platform::IsReadinessProbe(aRequest);
                       return http1::Response{ isProbe ? 200U : 404U, {} };
                     })
  , mDeadlines(aContext,
               [this] {
                 mBackendSocket.Drain();
                 mCore.OnTimer(mNode.Now());
                 CheckBackend();
                 FinishBatch();
               })
  , mBackendCheck(aContext, *aNode.Settings().mBackend)
  , mLastHeartbeat(aNode.Now())
{
  mSocket.Start(*this);
  mBackendSocket.Start(mBackendPacketHandler);
}

void
AgentNode::StartShutdown()
{
  mStopping = true;
  mCore.RefuseNewFlows();
  Announce();
}

bool
AgentNode::Stopped() const
{
  return mCore.OpenFlows() == 0 && mPublisher.UpToDate();
}

http1::Response
AgentNode::OnControlCall(const http1::Request& aRequest)
{
  const auto call = platform::DecodeBackendCall(aRequest);
  if (const auto* bad = std::get_if<platform::InvalidCall>(&call)) {
    mNode.Metrics().mRejectedHeartbeats.Add();
    mNode.Log().Write("heartbeat-rejected", { { "reason", bad->mReason } });
    return { bad->mStatus, "{}" };
  }
  if (const auto* deregistration =
        std::get_if<platform::Deregistration>(&call)) {
    const bool current =
      mCore.OnDeregister(deregistration->mId, deregistration->mStartTime);
    mNode.Log().Write(
      "backend-left",
      { { "id", deregistration->mId }, { "current", current ? "yes" : "no" } });
    Announce();
  } else if (const auto* heartbeat = std::get_if<flow::Heartbeat>(&call)) {
    return OnHeartbeat(*heartbeat);
  }
  return { 200, "{}" };
}

http1::Response
AgentNode::OnHeartbeat(const flow::Heartbeat& aHeartbeat)
{
  mNode.Metrics().mHeartbeats.Add();
  mLastHeartbeat = mNode.Now();
  const auto outcome = mCore.OnHeartbeat(aHeartbeat, mNode.Now());
  if (outcome == flow::HeartbeatOutcome::Unchanged) {
    return { 200, "{}" };
  }
  const bool draining = aHeartbeat.mState == cluster::BackendState::Draining;
  mNode.Log().Write("heartbeat",
                    { { "outcome", std::string(flow::ToString(outcome)) },
                      { "id", aHeartbeat.mId },
                      { "service", aHeartbeat.mService },
                      { "state", draining ? "draining" : "ready" },
                      { "sequence", std::to_string(aHeartbeat.mSequence) },
                      { "born", std::to_string(aHeartbeat.mStartTime) } });
  if (outcome == flow::HeartbeatOutcome::Outdated ||
      outcome == flow::HeartbeatOutcome::OtherService) {
    mNode.Metrics().mRejectedHeartbeats.Add();
    // A server that leaves must not believe that the agent knows.
    return { 409, "{}" };
  }
  Announce();
  return { 200, "{}" };
}

// Callers on the flows of a server that has ended would wait for their request
// timeout: it answers nothing, and its agent can't tell it from a slow one.
void
AgentNode::CheckBackend()
{
  const Instant now = mNode.Now();
  const bool silent =
    !mCore.Status().HasHeartbeat() || now - mLastHeartbeat > kHeartbeatTimeout;
  if (mCore.BackendEnded() || !(silent || mCore.MayHaveEnded()) ||
      now < mNextBackendCheck || mBackendCheck.Running()) {
    return;
  }
  mNextBackendCheck = now + kBackendCheckInterval;
  mNode.Metrics().mBackendChecks.Add();
  mBackendCheck.Start(
    [this, lastHeartbeat = mLastHeartbeat](ListenerCheck::Result aResult) {
      // The heartbeat of a later incarnation may have arrived meanwhile.
      if (lastHeartbeat == mLastHeartbeat) {
        OnBackendChecked(aResult);
      }
    });
}

void
AgentNode::OnBackendChecked(ListenerCheck::Result aResult)
{
  if (aResult != ListenerCheck::Result::Refused) {
    return;
  }
  mNode.Log().Write("backend-ended",
                    { { "id", mCore.Status().Id() },
                      { "open_flows", std::to_string(mCore.OpenFlows()) } });
  mCore.OnBackendEnded();
  Announce();
}

void
AgentNode::OnReplicaChanged(cluster::Part)
{
}

void
AgentNode::OnTick()
{
  const Instant now = mNode.Now();
  CheckBackend();
  if (mStopping || mCore.BackendEnded()) {
    Announce();
  } else {
    PublishRecord();
  }
  if (const auto stored = mPublisher.Stored()) {
    // Entry instances still know a record that a restored store has lost.
    const bool retained =
      mNode.State().Retained(cluster::Part::Backends, mPublisher.Name());
    mCore.SetRecordStored(*stored || retained, now);
  }
  if (now >= mNextExpiry) {
    mNextExpiry = now + kExpiryInterval;
    mCore.Expire(now);
    mNode.Metrics().mFlows.Set(static_cast<double>(mCore.FlowCount()));
    mNode.Metrics().mLoad.Set(mCore.Load());
    UpdateSchedulerMetrics(now);
  }
}

void
AgentNode::UpdateSchedulerMetrics(Instant aNow)
{
  const flow::BackendCapacity& capacity = mCore.Scheduler().Capacity();
  NodeMetrics& metrics = mNode.Metrics();
  metrics.mWaitingFlows.Set(static_cast<double>(mCore.WaitingFlows()));
  metrics.mWaitingRequests.Set(static_cast<double>(mCore.WaitingRequests()));
  metrics.mServiceTime.Set(
    std::chrono::duration<double>(capacity.MeanServiceTime()).count());
  metrics.mQueueLimit.Set(capacity.QueueLimit(aNow));
}

void
AgentNode::AddStatus(boost::json::object& aStatus)
{
  const flow::BackendStatus& status = mCore.Status();
  const flow::BackendCapacity& capacity = mCore.Scheduler().Capacity();
  boost::json::object values = {
    { "slots", status.HasHeartbeat() ? status.Slots() : 0 },
    { "load", mCore.Load() },
    { "waiting", mCore.WaitingFlows() + mCore.WaitingRequests() },
    { "queueLimit", capacity.QueueLimit(mNode.Now()) },
  };
  if (const auto time = capacity.MeasuredServiceTime()) {
    values["serviceMs"] =
      std::chrono::duration<double, std::milli>(*time).count();
  }
  aStatus["service"] = mNode.Settings().mService;
  aStatus["capacity"] = std::move(values);
}

void
AgentNode::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  mNode.Metrics().mPacketsIn.Add();
  const auto packet = platform::DecodePacket(aBytes);
  if (!packet || packet->mReturned) {
    mNode.Metrics().mMalformedPackets.Add();
    return;
  }
  mCore.OnNodePacket(*packet, aBytes, cluster::NodeIp(aFrom.mIp), mNode.Now());
}

void
AgentNode::BackendPacketHandler::OnDatagram(std::span<const uint8_t> aBytes,
                                            const Address&)
{
  NodeMetrics& metrics = mAgent.mNode.Metrics();
  metrics.mPacketsIn.Add();
  const auto packet = platform::DecodePacket(aBytes);
  if (!packet) {
    metrics.mMalformedPackets.Add();
    return;
  }
  mAgent.mCore.OnBackendPacket(*packet, aBytes, mAgent.mNode.Now());
}

void
AgentNode::OnBatchEnd()
{
  FinishBatch();
}

void
AgentNode::OnMessagesHandled()
{
  FinishBatch();
}

void
AgentNode::FinishBatch()
{
  mSocket.Flush();
  mBackendSocket.Flush();
  mNode.Flush();
  mDeadlines.Arm(mCore.NextDeadline(), mNode.Now());
}

void
AgentNode::SendToBackend(std::span<const uint8_t> aBytes)
{
  mBackendSocket.Send(aBytes, *mNode.Settings().mBackend);
  mNode.Metrics().mPacketsOut.Add();
}

void
AgentNode::SendToCaller(std::span<const uint8_t> aBytes, const Address& aCaller)
{
  mSocket.Send(aBytes, { aCaller.mIp, mNode.Settings().mPackets.mPort });
  mNode.Metrics().mPacketsOut.Add();
}

void
AgentNode::SendReset(const flow::Packet& aPacket)
{
  const auto reset = platform::EncodeReset(aPacket);
  mSocket.Send(reset, { aPacket.mSource.mIp, mNode.Settings().mPackets.mPort });
}

void
AgentNode::SendToNode(cluster::NodeIp aNode, const flow::OfferReply& aReply)
{
  SendMessage(aNode, aReply);
}

void
AgentNode::SendToNode(cluster::NodeIp aNode, const flow::OwnerNotice& aNotice)
{
  SendMessage(aNode, aNotice);
}

void
AgentNode::SendToNode(cluster::NodeIp aNode,
                      const flow::OwnerExclusion& aExclusion)
{
  SendMessage(aNode, aExclusion);
}

void
AgentNode::SendMessage(cluster::NodeIp aNode, const flow::NodeMessage& aMessage)
{
  // Uses the packet socket, so that the message is sent with the packets in one
  // system call and the receiver reads them in one wake-up.
  const auto bytes = flow::EncodeMessage(aMessage);
  mSocket.Send(bytes, { aNode.Value(), mNode.Settings().mPackets.mPort });
}

} // namespace snipepost

// Requests on open flows that wait at the agent for a slot of the backend
// server.

#include <snipepost/Flow/FlowAgentCore.h>

#include <utility>

namespace snipepost::flow {

void
FlowAgentCore::ForwardedData::Add(const Packet& aPacket)
{
  if (aPacket.mLength > 0 && !Contains(aPacket)) {
    mEnd = aPacket.mSequence + aPacket.mLength;
  }
}

bool
FlowAgentCore::ForwardedData::Contains(const Packet& aPacket) const
{
  // Sequence numbers wrap around.
  const uint32_t end = aPacket.mSequence + aPacket.mLength;
  return mEnd && static_cast<int32_t>(end - *mEnd) <= 0;
}

// While a request waits, its caller retransmits the data. A copy that arrives
// after the response is no request: the server does not respond to it, and it
// would count as load until it is considered lost.
bool
FlowAgentCore::StartsRequest(const AgentFlow& aFlow,
                             const Packet& aPacket) const
{
  const bool repeated = !aFlow.mTentative && aFlow.mForwarded.Contains(aPacket);
  return aPacket.mLength > 0 && !aFlow.mBusy &&
         !(mScheduler.Active() && repeated);
}

// Where requests may not wait, those that do are forwarded whatever the load.
// Before the first heartbeat the server's slots are unknown.
bool
FlowAgentCore::RequestsMayWait() const
{
  return mScheduler.Active() && mStatus.HasHeartbeat() && !mRefusesNewFlows &&
         !mStatus.Draining() &&
         mBreaker.CurrentState() == CircuitBreaker::State::Closed;
}

bool
FlowAgentCore::MustWait(const AgentFlow& aFlow,
                        const Packet& aPacket,
                        Instant aNow)
{
  if (aFlow.mWaiting) {
    // Other packets only acknowledge the previous response. A reset ends the
    // flow at once.
    return !aPacket.mReset && (aPacket.mFin || StartsRequest(aFlow, aPacket));
  }
  // A server that has closed its side responds to no further request.
  const bool starts = StartsRequest(aFlow, aPacket) && !aPacket.mReset &&
                      aFlow.mEstablished && !aFlow.mBackendFin;
  if (!starts || (mLoad < mStatus.Slots() && !mScheduler.AnyWaiting())) {
    return false;
  }
  mScheduler.SetConfig(mReplica.Routes());
  // Flows whose callers chose other servers count until a SYN or a timer.
  ReleaseHalfOpenLoad(aNow);
  return RequestsMayWait() && !mScheduler.HasRoom(CurrentLoad(), aNow);
}

bool
FlowAgentCore::HoldPacket(const FlowTuple& aTuple,
                          AgentFlow& aFlow,
                          const Packet& aPacket,
                          std::span<const uint8_t> aBytes,
                          Instant aNow)
{
  if (!MustWait(aFlow, aPacket, aNow)) {
    return false;
  }
  if (!aFlow.mWaiting) {
    auto request = mScheduler.MakeRequest(aTuple, CurrentLoad(), aNow);
    if (!request) {
      return false; // The route is not configured any more.
    }
    mScheduler.Requests().Add(std::move(*request));
    aFlow.mWaiting = true;
  }
  mScheduler.Requests().Keep(aTuple, aPacket, aBytes);
  // Forwards the request at once when a limit is reached, or when only new
  // flows have to wait.
  ForwardWaitingFlows(aNow);
  return true;
}

void
FlowAgentCore::ForwardDueRequests(Instant aNow)
{
  if (mScheduler.Requests().Size() == 0) {
    return;
  }
  mScheduler.SetConfig(mReplica.Routes());
  const bool allDue = !RequestsMayWait() || !WithinEvacuationGrace(aNow);
  auto due = allDue ? mScheduler.Requests().TakeAll()
                    : mScheduler.Requests().TakeDue(aNow);
  for (const WaitingRequest& request : due) {
    ForwardRequest(request, aNow);
  }
}

void
FlowAgentCore::ForwardRequest(const WaitingRequest& aRequest, Instant aNow)
{
  const auto found = mFlows.find(aRequest.mFlow);
  if (found == mFlows.end()) {
    return;
  }
  AgentFlow& flow = found->second;
  flow.mWaiting = false;
  if (!WithinEvacuationGrace(aNow)) {
    return; // The caller retransmits the packets.
  }
  SetBusy(flow, true, aNow);
  flow.mRequestAt = aNow;
  // The caller's packets may be older than a flow may be idle.
  flow.mLastSeen = aNow;
  for (const auto& packet : aRequest.mPackets) {
    flow.mForwarded.Add(packet.mHeader);
    mOutput.SendToBackend(packet.mBytes);
  }
}

void
FlowAgentCore::ForwardRequestOf(const FlowTuple& aTuple,
                                const AgentFlow& aFlow,
                                Instant aNow)
{
  if (!aFlow.mWaiting) {
    return;
  }
  if (const auto request = mScheduler.Requests().Take(aTuple)) {
    ForwardRequest(*request, aNow);
  }
}

void
FlowAgentCore::ResetRequestOf(const FlowTuple& aTuple, AgentFlow& aFlow)
{
  if (!std::exchange(aFlow.mWaiting, false)) {
    return;
  }
  const auto request = mScheduler.Requests().Take(aTuple);
  if (!request) {
    return;
  }
  mOutput.SendReset(request->mPackets.back().mHeader);
  ReportDecision(Verdict::Ended,
                 aTuple,
                 aFlow.mEntry,
                 Refusal::None,
                 aFlow.mLastSeen - aFlow.mOpenedAt);
}

} // namespace snipepost::flow

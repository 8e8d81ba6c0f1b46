// Packets of the backend server, load accounting, and expiry of flows.

#include <snipepost/Flow/FlowAgentCore.h>

#include <algorithm>
#include <utility>

namespace snipepost::flow {

namespace {

/// A half-open flow that occupies a slot for longer is considered abandoned:
/// callers give up a connection attempt after 1.4 s.
constexpr Duration kHalfOpenSlotTime = std::chrono::milliseconds(1500);
/// Time to keep a half-open flow. Longer than the longest interval between two
/// SYN-ACKs of a backend server, 1.6 s, so that the flow stays known while it
/// is repeated.
constexpr Duration kHalfOpenRetention = std::chrono::milliseconds(1800);

/// Time to keep a closed flow: the longest retransmission interval of
/// either end.
constexpr Duration kClosedRetention = std::chrono::seconds(2);
/// Time to keep a flow whose backend server restarted, to respond to its late
/// packets with resets.
constexpr Duration kOrphanRetention = std::chrono::seconds(5);

/// A request that occupies a slot for longer is considered lost.
constexpr Duration kMaxSlotTime = std::chrono::seconds(5);

/// Consecutive unanswered SYNs after which a backend server is considered
/// unresponsive, and the interval at which single SYNs then probe it.
constexpr uint32_t kUnresponsiveAfter = 3;
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);

} // namespace

void
FlowAgentCore::OnBackendPacket(const Packet& aPacket,
                               std::span<const uint8_t> aBytes,
                               Instant aNow)
{
  if (aPacket.mReturned) {
    OnReturnedPacket(aPacket, aNow);
    ForwardWaitingFlows(aNow);
    return;
  }
  mUnansweredSyns = 0;
  mReturnsPackets = false;
  const FlowTuple tuple = BackendFlow(aPacket);
  auto found = mFlows.find(tuple);
  if (found == mFlows.end() && mFlows.size() < kMaxFlows) {
    // The flow was opened before this agent started, or has expired here.
    found = mFlows.try_emplace(tuple).first;
    found->second.mOpenedAt = aNow;
    found->second.mStartedAt = aNow;
    found->second.mTentative = true;
    found->second.mSynAcked = true;
  }
  if (found == mFlows.end()) {
    // The table is full.
  } else if (aPacket.IsSynAck()) {
    OnSynAck(tuple, found->second, aPacket, aNow);
  } else {
    OnFlowPacket(tuple, found->second, aPacket, aNow);
  }
  mOutput.SendToCaller(aBytes, aPacket.mDestination);
  ForwardWaitingFlows(aNow);
}

// A SYN-ACK, also a repeated one, says nothing about the owner of the flow: the
// caller may have chosen another backend server.
void
FlowAgentCore::OnSynAck(const FlowTuple& aTuple,
                        AgentFlow& aFlow,
                        const Packet& aPacket,
                        Instant aNow)
{
  const bool repeated = aFlow.mSynAcked;
  aFlow.mLastSeen = aNow;
  aFlow.mSynAcked = true;
  if (std::exchange(aFlow.mTentative, false)) {
    aFlow.mCallerSequence = aPacket.mAcknowledgement - 1;
  }
  aFlow.mBackendSequence = aPacket.mSequence;
  RemoveAnsweredSyns();
  if (aFlow.mEntry == cluster::NodeIp()) {
    return; // The entry instance that offered the flow is not known any more.
  }
  SendOfferReply({ aFlow.mEntry, aFlow.mEntryReadsWaits },
                 aTuple,
                 aFlow.mCallerSequence,
                 aPacket.mSequence,
                 Refusal::None,
                 aNow);
  if (!repeated) {
    ReportDecision(Verdict::Opened,
                   aTuple,
                   aFlow.mEntry,
                   Refusal::None,
                   aNow - aFlow.mOpenedAt);
  }
}

void
FlowAgentCore::OnFlowPacket(const FlowTuple& aTuple,
                            AgentFlow& aFlow,
                            const Packet& aPacket,
                            Instant aNow)
{
  aFlow.mLastSeen = aNow;
  aFlow.mReturned = false;
  if (!aFlow.mEstablished && !aPacket.mReset) {
    // The backend server continues only flows that the caller opened there.
    aFlow.mEstablished = true;
    aFlow.mSynAcked = true;
    if (std::exchange(aFlow.mTentative, false) &&
        aFlow.mEntry != cluster::NodeIp()) {
      NotifyOwned(aTuple, aFlow);
    }
  }
  const bool responds = aPacket.mLength > 0 || aPacket.mFin || aPacket.mReset;
  if (responds && aFlow.mBusy) {
    CountResult(aFlow, aPacket, aNow);
    // A request that the server rejects has occupied no slot.
    if (!aPacket.mReset) {
      UpdateServiceTimes(aTuple, aFlow, aNow);
    }
    SetBusy(aFlow, false, aNow);
    if (!aPacket.mReset && mLoad >= mStatus.Slots()) {
      mLastResponseAtFullLoad = aNow;
    }
  }
  aFlow.mBackendFin = aFlow.mBackendFin || aPacket.mFin || aPacket.mReset;
  if (aFlow.mBackendFin) {
    ForwardRequestOf(aTuple, aFlow, aNow);
  }
}

void
FlowAgentCore::CountResult(const AgentFlow& aFlow,
                           const Packet& aPacket,
                           Instant aNow)
{
  // A server also resets a flow that it has closed, when data arrives late.
  if (!aFlow.mEstablished || aFlow.mBackendFin) {
    return;
  }
  if (aPacket.mReset) {
    mBreaker.OnReset(aNow);
  } else if (aPacket.mLength > 0) {
    mBreaker.OnResponse();
  }
}

// The agent's own mean includes the time in which a flow is opened, as without
// scheduling a slot counts as busy then. The scheduler's does not.
void
FlowAgentCore::UpdateServiceTimes(const FlowTuple& aTuple,
                                  const AgentFlow& aFlow,
                                  Instant aNow)
{
  if (!aFlow.mEstablished) {
    return;
  }
  if (const auto time = SlotTime(aFlow.mBusySince, aNow)) {
    mServiceTime = (mServiceTime * 15 + *time) / 16;
  }
  const auto served = SlotTime(aFlow.mRequestAt, aNow);
  if (served && aFlow.mRequestAt != Instant()) {
    mScheduler.Capacity().OnServed(aTuple.mService, *served);
  }
}

// With a free slot, the time until the response is the service time. While all
// slots are busy, a request also waits for one; then the interval between
// responses is the service time divided by the number of slots.
std::optional<Duration>
FlowAgentCore::SlotTime(Instant aSince, Instant aNow) const
{
  if (mLoad <= mStatus.Slots()) {
    return aNow - aSince;
  }
  if (!mLastResponseAtFullLoad) {
    return std::nullopt;
  }
  return (aNow - *mLastResponseAtFullLoad) * mStatus.Slots();
}

void
FlowAgentCore::OnReturnedPacket(const Packet& aPacket, Instant aNow)
{
  const FlowTuple tuple = CallerFlow(aPacket);
  const auto found = mFlows.find(tuple);
  if (found == mFlows.end()) {
    return;
  }
  // The server would have returned the waiting packets, too.
  ForwardRequestOf(tuple, found->second, aNow);
  const AgentFlow flow = found->second;
  if (aPacket.IsSyn()) {
    Erase(found);
    mUnansweredSyns = 0;
    mReturnsPackets = mReturnsPackets || mLoad < mStatus.Slots();
    mScheduler.Capacity().OnSynReturned(mLoad, mStatus.Slots(), aNow);
    SendOfferReply({ flow.mEntry, flow.mEntryReadsWaits },
                   tuple,
                   aPacket.mSequence,
                   0,
                   Refusal::Full,
                   aNow);
    ReportDecision(Verdict::TurnedAway,
                   tuple,
                   flow.mEntry,
                   Refusal::Full,
                   aNow - flow.mOpenedAt,
                   "returned");
    return;
  }
  if (flow.mTentative) {
    Erase(found);
    NotifyNotOwned(tuple, flow.mEntry, flow.mLookedUp, aNow);
    return;
  }
  // The backend server has ended or restarted, or has dropped an idle flow.
  // This agent sends a reset only after the end or a heartbeat of the restart
  // is known.
  mReturnsPackets = true;
  SetBusy(found->second, false, aNow);
  if (!flow.mOrphaned && !flow.mBackendFin) {
    found->second.mReturned = true;
    mOutput.SendToNode(flow.mEntry, OwnerNotice{ tuple, false });
  }
  ReportDecision(Verdict::NotOwned,
                 tuple,
                 flow.mEntry,
                 Refusal::None,
                 aNow - flow.mOpenedAt,
                 "returned");
}

std::optional<Instant>
FlowAgentCore::NextDeadline() const
{
  std::optional<Instant> next;
  if (!mAwaitingSynAck.empty()) {
    next = mAwaitingSynAck.front().mDeadline;
  }
  if (mScheduler.AnyWaiting() && (!next || mNextQueueCheck < *next)) {
    next = mNextQueueCheck;
  }
  return next;
}

bool
FlowAgentCore::LeavesSynsUnanswered() const
{
  return mUnansweredSyns >= kUnresponsiveAfter;
}

bool
FlowAgentCore::BackendUnresponsive(Instant aNow)
{
  if (!LeavesSynsUnanswered()) {
    return false;
  }
  if (aNow < mNextProbe) {
    return true;
  }
  mNextProbe = aNow + kProbeInterval;
  return false;
}

void
FlowAgentCore::RemoveAnsweredSyns()
{
  while (!mAwaitingSynAck.empty()) {
    const auto found = mFlows.find(mAwaitingSynAck.front().mFlow);
    if (found != mFlows.end() && !found->second.mSynAcked) {
      return;
    }
    mAwaitingSynAck.pop_front();
  }
}

void
FlowAgentCore::OnTimer(Instant aNow)
{
  while (!mAwaitingSynAck.empty() &&
         mAwaitingSynAck.front().mDeadline <= aNow) {
    const HalfOpenFlow pending = mAwaitingSynAck.front();
    mAwaitingSynAck.pop_front();
    const auto found = mFlows.find(pending.mFlow);
    if (found == mFlows.end() || found->second.mSynAcked ||
        found->second.mCallerSequence != pending.mCallerSequence) {
      continue;
    }
    ++mUnansweredSyns;
    const AgentFlow& flow = found->second;
    SendOfferReply({ flow.mEntry, flow.mEntryReadsWaits },
                   pending.mFlow,
                   pending.mCallerSequence,
                   0,
                   Refusal::Silent,
                   aNow);
    ReportDecision(Verdict::TurnedAway,
                   pending.mFlow,
                   flow.mEntry,
                   Refusal::Silent,
                   aNow - flow.mOpenedAt,
                   "no-answer");
    SetBusy(found->second, false, aNow);
  }
  if (mScheduler.AnyWaiting()) {
    ReleaseHalfOpenLoad(aNow);
  }
  ForwardWaitingFlows(aNow);
}

void
FlowAgentCore::SetBusy(AgentFlow& aFlow, bool aBusy, Instant aNow)
{
  if (aFlow.mBusy == aBusy) {
    return;
  }
  aFlow.mBusy = aBusy;
  aFlow.mBusySince = aNow;
  mLoad = aBusy ? mLoad + 1 : mLoad - 1;
  mUtilisation.Set(mLoad, mStatus.Slots(), aNow);
  if (mLoad < mStatus.Slots()) {
    mLastResponseAtFullLoad.reset();
  }
}

void
FlowAgentCore::Erase(Flows::iterator aFlow)
{
  SetBusy(aFlow->second, false, aFlow->second.mLastSeen);
  if (aFlow->second.mWaiting) {
    mScheduler.Requests().Take(aFlow->first);
  }
  mFlows.erase(aFlow);
}

void
FlowAgentCore::ReleaseHalfOpenLoad(Instant aNow)
{
  while (!mHalfOpenLoad.empty() && mHalfOpenLoad.front().mDeadline <= aNow) {
    const HalfOpenFlow& halfOpen = mHalfOpenLoad.front();
    const auto found = mFlows.find(halfOpen.mFlow);
    if (found != mFlows.end() && !found->second.mEstablished &&
        found->second.mCallerSequence == halfOpen.mCallerSequence) {
      SetBusy(found->second, false, aNow);
    }
    mHalfOpenLoad.pop_front();
  }
}

void
FlowAgentCore::Expire(Instant aNow)
{
  ReleaseHalfOpenLoad(aNow);
  ForwardWaitingFlows(aNow);
  // The grace period of an evacuation starts also while no packet arrives.
  WithinEvacuationGrace(aNow);
  const Duration idle = mReplica.Routes()->mIdleTimeout;
  for (auto at = mFlows.begin(); at != mFlows.end();) {
    AgentFlow& flow = at->second;
    const Duration sinceLastSeen = aNow - flow.mLastSeen;
    if (flow.mBusy &&
        aNow - flow.mBusySince >
          (flow.mEstablished ? kMaxSlotTime : kHalfOpenSlotTime)) {
      SetBusy(flow, false, aNow);
    }
    Duration retention = idle;
    if (flow.mOrphaned) {
      retention = kOrphanRetention;
    } else if (flow.mCallerFin && flow.mBackendFin) {
      retention = kClosedRetention;
    } else if (!flow.mEstablished) {
      retention = kHalfOpenRetention;
    }
    const auto next = std::next(at);
    // A request may wait for longer than a flow may be idle.
    if (sinceLastSeen > retention && !flow.mWaiting) {
      Erase(at);
    }
    at = next;
  }
}

size_t
FlowAgentCore::OpenFlows() const
{
  return static_cast<size_t>(
    std::ranges::count_if(mFlows, [](const auto& aItem) {
      const AgentFlow& flow = aItem.second;
      return !flow.mOrphaned &&
             (flow.mBusy || (flow.mEstablished && !flow.mBackendFin));
    }));
}

} // namespace snipepost::flow

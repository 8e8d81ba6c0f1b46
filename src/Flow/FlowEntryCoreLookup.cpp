// Packets of open flows: their owner, the search for it, and the reset of flows
// whose owner has ended.

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>
#include <utility>

namespace snipepost::flow {

namespace {

/// Time for the replies to an attempt; the round trip to another failure domain
/// takes about 8 ms.
constexpr Duration kLookupReplyTime = std::chrono::milliseconds(40);

/// Attempts after which the packets of a flow are dropped.
constexpr uint32_t kMaxLookups = 24;

/// Interval of the checks whether the shared state is complete, which it is
/// some 100 ms after the start.
constexpr Duration kIncompleteStateInterval = std::chrono::milliseconds(50);

/// Largest distance of a caller's acknowledgement from the backend server's
/// initial sequence number, for the first packets of a flow. Also the largest
/// difference between the acknowledgements of successive packets of a flow.
constexpr uint32_t kAckWindow = 1U << 20;

/// True when the packets belong to different flows with the same addresses.
bool
BelongToDifferentFlows(const Packet& aEarlier, const Packet& aLater)
{
  const uint32_t forward = aLater.mAcknowledgement - aEarlier.mAcknowledgement;
  return forward >= kAckWindow && 0U - forward >= kAckWindow;
}

} // namespace

void
FlowEntryCore::OnOwnerNotice(cluster::NodeIp aFrom,
                             const OwnerNotice& aNotice,
                             Instant aNow)
{
  const auto found = mFlows.find(aNotice.mFlow);
  if (found == mFlows.end()) {
    return;
  }
  EntryFlow& flow = found->second;
  if (!aNotice.mOwned) {
    if (flow.mOwner && flow.mOwner->mIp == aFrom.Value()) {
      flow.mOwner.reset();
      flow.mResolved = true;
      flow.mOffers.clear();
    }
    return;
  }
  const cluster::BackendRecord* record = mRecords.FindAgent(aFrom);
  if (!record) {
    return;
  }
  flow.mOwner = record->mAgent;
  flow.mResolved = true;
  for (const auto& packet : flow.mLookup.mWaiting) {
    mOutput.SendToAgent(packet, *flow.mOwner, 0, TransitMark::Owner, false);
  }
  EndLookup(flow);
  // The reply to the offer was lost; no further offer is made.
  SetDeadline(aNotice.mFlow, flow, std::nullopt);
  mViews[record->mAgent].mUnansweredOffers = 0;
  ReportDecision(Verdict::Located,
                 aNotice.mFlow,
                 flow,
                 record->mAgent,
                 Refusal::None,
                 {},
                 aNow);
}

void
FlowEntryCore::OnOwnerExclusion(cluster::NodeIp aFrom,
                                const OwnerExclusion& aExclusion,
                                Instant aNow)
{
  const auto found = mFlows.find(aExclusion.mFlow);
  if (found != mFlows.end()) {
    OnLookupReply(found->second, aFrom);
  }
  if (found == mFlows.end() || found->second.mOwner ||
      found->second.mOwnerEnded) {
    return;
  }
  OwnerLookup& lookup = found->second.mLookup;
  // With older records the latest attempt may not have asked the owner, even if
  // this instance has received newer ones since.
  if (std::ranges::find(lookup.mPending, aFrom) == lookup.mPending.end() ||
      cluster::HasNewerContent(aExclusion.mRecords, lookup.mRecords)) {
    return;
  }
  std::erase(lookup.mPending, aFrom);
  std::erase_if(lookup.mAsked, [aFrom](const Address& aAgent) {
    return aAgent.mIp == aFrom.Value();
  });
  lookup.mExcluded.push_back(aFrom);
  if (lookup.mPending.empty() && lookup.mConclusive) {
    RejectOrphan(aExclusion.mFlow, found->second, aNow);
  } else if (lookup.mAsked.empty() && !lookup.mPacketBytes.empty()) {
    const auto bytes = std::exchange(lookup.mPacketBytes, {});
    --mWaitingPackets;
    StartLookupAttempt(aExclusion.mFlow, found->second, bytes, aNow);
  }
}

void
FlowEntryCore::OnLookupReply(const EntryFlow& aFlow, cluster::NodeIp aFrom)
{
  for (const Address& asked : aFlow.mLookup.mAsked) {
    if (asked.mIp == aFrom.Value()) {
      mViews[asked].mUnansweredOffers = 0;
    }
  }
}

void
FlowEntryCore::EndLookup(EntryFlow& aFlow)
{
  mWaitingPackets -= aFlow.mLookup.mWaiting.size() +
                     (aFlow.mLookup.mPacketBytes.empty() ? 0 : 1);
  aFlow.mLookup = OwnerLookup();
}

void
FlowEntryCore::RejectOrphan(const FlowTuple& aTuple,
                            EntryFlow& aFlow,
                            Instant aNow)
{
  aFlow.mOwnerEnded = true;
  aFlow.mClosing = true;
  mOutput.SendReset(aFlow.mLookup.mPacket);
  EndLookup(aFlow);
  ReportDecision(
    Verdict::Rejected, aTuple, aFlow, {}, Refusal::None, "owner-ended", aNow);
}

void
FlowEntryCore::ResolveOwner(EntryFlow& aFlow, const Packet& aPacket)
{
  if (aFlow.mResolved || !aPacket.mAck) {
    return;
  }
  for (const Offer& offer : aFlow.mOffers) {
    const uint32_t distance =
      aPacket.mAcknowledgement - offer.mBackendSequence - 1;
    if (offer.mState == OfferState::Accepted && distance < kAckWindow) {
      aFlow.mOwner = offer.mAgent;
      aFlow.mResolved = true;
      return;
    }
  }
}

void
FlowEntryCore::ForwardPacket(const FlowTuple& aTuple,
                             EntryFlow& aFlow,
                             const Packet& aPacket,
                             std::span<const uint8_t> aBytes,
                             Instant aNow)
{
  ResolveOwner(aFlow, aPacket);
  if (aFlow.mOwner) {
    mOutput.SendToAgent(aBytes, *aFlow.mOwner, 0, TransitMark::Owner, false);
    return;
  }
  // The reply of the agent that accepted the flow was lost or is in transit.
  bool mayBeAccepted = false;
  for (const Offer& offer : aFlow.mOffers) {
    if (offer.mState != OfferState::Refused) {
      mayBeAccepted = true;
      mOutput.SendToAgent(
        aBytes, offer.mAgent, 0, TransitMark::OwnerLookup, false);
    }
  }
  if (mayBeAccepted) {
    return;
  }
  LookUpOwner(aTuple, aFlow, aPacket, aBytes, aNow);
}

const cluster::Route*
FlowEntryCore::FindRoute(const FlowTuple& aTuple) const
{
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  if (route != mRoutes->mRoutes.end()) {
    return &route->second;
  }
  const auto removed = mRemovedRoutes.find(aTuple.mService);
  return removed == mRemovedRoutes.end() ? nullptr : &removed->second;
}

void
FlowEntryCore::LookUpOwner(const FlowTuple& aTuple,
                           EntryFlow& aFlow,
                           const Packet& aPacket,
                           std::span<const uint8_t> aBytes,
                           Instant aNow)
{
  if (aFlow.mOwnerEnded) {
    mOutput.SendReset(aPacket);
    return;
  }
  OwnerLookup& lookup = aFlow.mLookup;
  if (lookup.mAttempts > 0 && BelongToDifferentFlows(lookup.mPacket, aPacket)) {
    EndLookup(aFlow);
  }
  lookup.mPacket = aPacket;
  if (lookup.mAttempts > 0 && aNow < lookup.mNextAttempt) {
    if (mWaitingPackets < kMaxWaitingPackets) {
      lookup.mWaiting.emplace_back(aBytes.begin(), aBytes.end());
      ++mWaitingPackets;
    }
    return;
  }
  if (!mReplica.Complete()) {
    KeepPacket(aFlow, aBytes);
    SetDeadline(aTuple, aFlow, aNow + kIncompleteStateInterval);
    return;
  }
  StartLookup(aTuple, aFlow, aBytes, aNow);
}

void
FlowEntryCore::StartLookup(const FlowTuple& aTuple,
                           EntryFlow& aFlow,
                           std::span<const uint8_t> aBytes,
                           Instant aNow)
{
  StartLookupAttempt(aTuple, aFlow, aBytes, aNow);
  const OwnerLookup& lookup = aFlow.mLookup;
  if (lookup.mAsked.size() < lookup.mPending.size() || !lookup.mConclusive) {
    KeepPacket(aFlow, aBytes);
  }
}

void
FlowEntryCore::KeepPacket(EntryFlow& aFlow, std::span<const uint8_t> aBytes)
{
  auto& kept = aFlow.mLookup.mPacketBytes;
  if (kept.empty() && mWaitingPackets < kMaxWaitingPackets) {
    kept.assign(aBytes.begin(), aBytes.end());
    ++mWaitingPackets;
  }
}

// The caller retransmits a packet after up to 1.6 s, so one that arrives before
// the shared state is not dropped.
void
FlowEntryCore::ResumeLookup(const FlowTuple& aTuple,
                            EntryFlow& aFlow,
                            Instant aNow)
{
  if (!mReplica.Complete()) {
    SetDeadline(aTuple, aFlow, aNow + kIncompleteStateInterval);
    return;
  }
  const auto bytes = std::exchange(aFlow.mLookup.mPacketBytes, {});
  --mWaitingPackets;
  if (!aFlow.mOwner) {
    StartLookup(aTuple, aFlow, bytes, aNow);
  }
}

void
FlowEntryCore::StartLookupAttempt(const FlowTuple& aTuple,
                                  EntryFlow& aFlow,
                                  std::span<const uint8_t> aBytes,
                                  Instant aNow)
{
  OwnerLookup& lookup = aFlow.mLookup;
  const cluster::Route* route = FindRoute(aTuple);
  if (!route || ++lookup.mAttempts > kMaxLookups) {
    ReportDecision(Verdict::Dropped,
                   aTuple,
                   aFlow,
                   {},
                   Refusal::None,
                   route ? "owner-not-found" : "route-unknown",
                   aNow);
    return;
  }
  for (const Address& silent : lookup.mAsked) {
    if (!IsMissing(silent)) {
      CountUnanswered(mViews[silent], lookup.mAskedAt);
    }
  }
  lookup.mNextAttempt = aNow + kLookupReplyTime;
  lookup.mAskedAt = aNow;
  lookup.mAsked.clear();
  for (const cluster::BackendRecord* server :
       LookupTargets(aTuple, *route, lookup, aNow)) {
    lookup.mAsked.push_back(server->mAgent);
    mOutput.SendToAgent(
      aBytes, server->mAgent, 0, TransitMark::OwnerLookup, false);
    // Most lookups have no attempt after this one, in which a missing agent's
    // silence would be counted.
    if (IsMissing(server->mAgent)) {
      CountUnanswered(mViews[server->mAgent], aNow);
    }
  }
  // Names one of the agents that an earlier attempt may have waited for.
  const bool repeated = lookup.mAttempts > 1 && !lookup.mAsked.empty();
  const Address silent = repeated ? lookup.mAsked.front() : Address();
  ReportDecision(
    Verdict::Locating, aTuple, aFlow, silent, Refusal::None, {}, aNow);
}

} // namespace snipepost::flow

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>
#include <utility>

#include "src/Routing/Hash.h"

namespace snipepost::flow {

namespace {

constexpr uint64_t kSplitSeed = 0x73706c6974000001;

/// Limits the offers that follow an unanswered one to this share of the flows
/// in the long run. When replies are late because processors are overloaded,
/// further offers would multiply the load that delays them.
constexpr RetryOptions kOfferRetries{ 0.1, 40.0 };

/// Callers abandon a connection attempt after 1.4 s.
constexpr Duration kHalfOpenRetention = std::chrono::seconds(2);
/// Late packets of a closed flow arrive for up to the longest retransmission
/// interval.
constexpr Duration kClosedRetention = std::chrono::seconds(2);

/// Bounds the memory of the flow table to about 20 MB. At the largest expected
/// size of a deployment an entry instance forwards 18,400 flows.
constexpr size_t kMaxFlows = 65536;

} // namespace

FlowEntryCore::FlowEntryCore(EntryOptions aOptions,
                             const cluster::Replica& aReplica,
                             EntryOutput& aOutput,
                             DecisionSink& aDecisions,
                             Instant aStart)
  : mOptions(std::move(aOptions))
  , mReplica(aReplica)
  , mOutput(aOutput)
  , mDecisions(aDecisions)
  , mRoutes(aReplica.Routes())
  , mRandom(mOptions.mSeed)
  , mRecords(mOptions.mFlowLimit)
  , mRetryBudget(kOfferRetries)
{
  UpdateThrottles();
  RebuildTables(aStart);
}

void
FlowEntryCore::OnCallerPacket(const Packet& aPacket,
                              std::span<const uint8_t> aBytes,
                              Instant aNow)
{
  if (aPacket.IsSyn()) {
    OnSyn(aPacket, aBytes, aNow);
    return;
  }
  const FlowTuple tuple = CallerFlow(aPacket);
  const auto found = mFlows.find(tuple);
  EntryFlow& flow =
    found == mFlows.end() ? AddFlow(tuple, aNow) : found->second;
  flow.mLastSeen = aNow;
  flow.mClosing = flow.mClosing || aPacket.mFin || aPacket.mReset;
  ForwardPacket(tuple, flow, aPacket, aBytes, aNow);
}

FlowEntryCore::EntryFlow&
FlowEntryCore::AddFlow(const FlowTuple& aTuple, Instant aNow)
{
  if (mFlows.size() >= kMaxFlows) {
    EndLookup(mFlows.begin()->second);
    mFlows.erase(mFlows.begin());
  }
  EntryFlow& flow = mFlows[aTuple];
  EndLookup(flow);
  SetDeadline(aTuple, flow, std::nullopt);
  flow = EntryFlow();
  flow.mOpenedAt = aNow;
  flow.mLastSeen = aNow;
  return flow;
}

void
FlowEntryCore::OnSyn(const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     Instant aNow)
{
  const FlowTuple tuple = CallerFlow(aPacket);
  const auto found = mFlows.find(tuple);
  if (found != mFlows.end() && !found->second.mSynBytes.empty() &&
      found->second.mCallerSequence == aPacket.mSequence) {
    found->second.mLastSeen = aNow;
    found->second.mSynPacket = aPacket;
    found->second.mSynBytes.assign(aBytes.begin(), aBytes.end());
    OnSynRetransmission(tuple, found->second, aNow);
    return;
  }
  if (mReplica.Complete() && !mRoutes->mRoutes.contains(aPacket.mDestination)) {
    OnUnknownRoute(tuple, aPacket);
    return;
  }
  EntryFlow& flow = AddFlow(tuple, aNow);
  flow.mCallerSequence = aPacket.mSequence;
  flow.mSynPacket = aPacket;
  flow.mSynBytes.assign(aBytes.begin(), aBytes.end());
  mRetryBudget.OnRequest();
  if (!mReplica.Complete()) {
    mDeferredFlows.push_back(tuple);
    return;
  }
  StartPlacement(tuple, flow, aNow);
}

void
FlowEntryCore::OnSynRetransmission(const FlowTuple& aTuple,
                                   EntryFlow& aFlow,
                                   Instant aNow)
{
  if (aFlow.mRejected) {
    mOutput.SendReset(aFlow.mSynPacket);
    return;
  }
  // The service that the weights choose is asked first again.
  aFlow.mThrottled = false;
  aFlow.mOthersUnavailable = false;
  if (!mReplica.Complete()) {
    return; // The flow is still deferred.
  }
  // When an agent has accepted the flow, the SYN-ACK to the caller was lost,
  // and the backend server retransmits it.
  for (const Offer& offer : aFlow.mOffers) {
    if (offer.mState == OfferState::Accepted) {
      mOutput.SendToAgent(aFlow.mSynBytes,
                          offer.mAgent,
                          offer.mServiceTag,
                          TransitMark::OfferFinal,
                          false);
      return;
    }
  }
  if (ForwardToQueue(aTuple, aFlow, aNow)) {
    return;
  }
  // The retransmission follows after 200 ms or more: refusals of the previous
  // SYN are outdated, and an agent that did not reply may have restarted.
  aFlow.mOffers.clear();
  aFlow.mOverflowed = false;
  MakeOffer(aTuple, aFlow, aNow);
}

void
FlowEntryCore::OnUnknownRoute(const FlowTuple& aTuple, const Packet& aPacket)
{
  EntryFlow unknown;
  unknown.mSynPacket = aPacket;
  // An unknown route may just have been added; this instance may have received
  // it when the caller retransmits the SYN. A removed route is not expected to
  // be added again.
  const bool removed = mRemovedRoutes.contains(aTuple.mService);
  if (removed && mReplica.Complete()) {
    mOutput.SendReset(aPacket);
  }
  ReportDecision(removed ? Verdict::Rejected : Verdict::Dropped,
                 aTuple,
                 unknown,
                 {},
                 Refusal::None,
                 removed ? "route-removed" : "route-unknown",
                 unknown.mOpenedAt);
}

const std::string&
FlowEntryCore::ServiceOf(const cluster::Route& aRoute,
                         const FlowTuple& aTuple) const
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  uint64_t total = 0;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    total += share.mWeight;
  }
  uint64_t point = HashWord(FlowHash(aTuple), kSplitSeed) % total;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    if (point < share.mWeight) {
      return share.mService;
    }
    point -= share.mWeight;
  }
  return aRoute.mServices.back().mService;
}

void
FlowEntryCore::OfferDeferredFlows(Instant aNow)
{
  for (const FlowTuple& tuple : std::exchange(mDeferredFlows, {})) {
    const auto found = mFlows.find(tuple);
    if (found == mFlows.end() || !found->second.mOffers.empty()) {
      continue;
    }
    if (!mRoutes->mRoutes.contains(tuple.mService)) {
      OnUnknownRoute(tuple, found->second.mSynPacket);
      mFlows.erase(found);
      continue;
    }
    StartPlacement(tuple, found->second, aNow);
  }
}

void
FlowEntryCore::OnReplicaChanged(cluster::Part aPart, Instant aNow)
{
  if (aPart == cluster::Part::Routes) {
    const auto routes = mReplica.Routes();
    for (const auto& [address, route] : mRoutes->mRoutes) {
      if (!routes->mRoutes.contains(address)) {
        mRemovedRoutes[address] = route;
      }
    }
    mRoutes = routes;
    std::erase_if(mRemovedRoutes, [this](const auto& aRemoved) {
      return mRoutes->mRoutes.contains(aRemoved.first);
    });
    UpdateThrottles();
  }
  RebuildTables(aNow);
  if (mReplica.Complete()) {
    OfferDeferredFlows(aNow);
  }
}

void
FlowEntryCore::RebuildTables(Instant aNow)
{
  mTables.clear();
  mRecords.Update(mReplica, aNow);
  for (const auto& [name, known] : mRecords.Records()) {
    mTables[known.mRecord.mService].Add(known);
  }
  std::erase_if(mViews, [this](const auto& aView) {
    return !mRecords.Records().contains(cluster::RecordName(aView.first));
  });
}

void
FlowEntryCore::Expire(Instant aNow)
{
  for (auto at = mFlows.begin(); at != mFlows.end();) {
    if (!IsExpired(at->second, aNow)) {
      ++at;
      continue;
    }
    EndLookup(at->second);
    at = mFlows.erase(at);
  }
}

bool
FlowEntryCore::IsExpired(const EntryFlow& aFlow, Instant aNow) const
{
  const Duration sinceLastSeen = aNow - aFlow.mLastSeen;
  if (aFlow.mClosing) {
    return sinceLastSeen > kClosedRetention;
  }
  if (!aFlow.mOwner) {
    return sinceLastSeen > kHalfOpenRetention;
  }
  return sinceLastSeen > mRoutes->mIdleTimeout;
}

void
FlowEntryCore::ReportDecision(Verdict aVerdict,
                              const FlowTuple& aTuple,
                              const EntryFlow& aFlow,
                              const Address& aPeer,
                              Refusal aRefusal,
                              std::string_view aReason,
                              Instant aNow)
{
  Decision decision;
  decision.mVerdict = aVerdict;
  decision.mFlow = aTuple;
  decision.mPeer = aPeer;
  decision.mOfferedAgents = static_cast<uint32_t>(aFlow.mOffers.size());
  decision.mRefusal = aRefusal;
  decision.mElapsed = aNow - aFlow.mOpenedAt;
  decision.mReason = aReason;
  if (aFlow.mOverflowed) {
    decision.mService = OverflowService(aTuple, aFlow, aPeer);
    if (!decision.mService.empty()) {
      decision.mReason = kOverflowReason;
    }
  }
  const auto view = mViews.find(aPeer);
  if (view != mViews.end()) {
    decision.mLoad = view->second.mLoad;
    decision.mLoadAge = aNow - view->second.mLoadAt;
  }
  mDecisions.OnDecision(decision);
}

} // namespace snipepost::flow

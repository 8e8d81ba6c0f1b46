#include <snipepost/Flow/EntryCore.h>

#include <algorithm>
#include <utility>

#include "src/Routing/Hash.h"

namespace snipepost::flow {

namespace {

constexpr uint64_t kSplitSeed = 0x73706c6974000001;

/// Agents asked by the first packets of a flow whose owner is not known, and
/// by later ones, in the own failure domain and elsewhere.
constexpr size_t kLocateEach = 4;
constexpr size_t kLocateAllEach = 64;

constexpr uint32_t kNarrowLocates = 2;

/// Packets by which a flow is looked for before it counts as gone.
constexpr uint32_t kMaxLocates = 24;

/// Offers beyond the unanswered ones: at most this share of all offers in the
/// long run. When replies are late because processors are short, repeating
/// offers would multiply the load that delays them.
constexpr RetryOptions kRepeatedOffers{ 0.1, 40.0 };

/// Callers repeat an opening packet for 1.4 s; ended flows see late packets
/// for the longest retransmission interval.
constexpr Duration kOpeningMemory = std::chrono::seconds(2);
constexpr Duration kClosedMemory = std::chrono::seconds(2);

/// Bounds the memory of the flow table to about 20 MB. At the two-year size
/// an entry instance continues 18,400 flows.
constexpr size_t kMaxFlows = 65536;

/// Largest distance of a caller's acknowledgement from the start of the
/// sequence, for the first packets of a flow.
constexpr uint32_t kResolveWindow = 1U << 20;

} // namespace

EntryCore::EntryCore(std::string aDomain,
                     const cluster::Replica& aReplica,
                     EntryOutput& aOutput,
                     DecisionSink& aDecisions)
  : mDomain(std::move(aDomain))
  , mReplica(aReplica)
  , mOutput(aOutput)
  , mDecisions(aDecisions)
  , mRoutes(aReplica.Routes())
  , mRepeatBudget(kRepeatedOffers)
{
  RebuildServers();
}

void
EntryCore::OnCallerPacket(const Packet& aPacket,
                          std::span<const uint8_t> aBytes,
                          Instant aNow)
{
  if (aPacket.Opens()) {
    OnOpening(aPacket, aBytes, aNow);
    return;
  }
  const FlowId id = CallerFlow(aPacket);
  const auto found = mFlows.find(id);
  EntryFlow& flow = found == mFlows.end() ? AddFlow(id, aNow) : found->second;
  flow.mLastSeen = aNow;
  flow.mClosing = flow.mClosing || aPacket.mFin || aPacket.mReset;
  Continue(id, flow, aPacket, aBytes, aNow);
}

EntryCore::EntryFlow&
EntryCore::AddFlow(const FlowId& aId, Instant aNow)
{
  if (mFlows.size() >= kMaxFlows) {
    mFlows.erase(mFlows.begin());
  }
  EntryFlow& flow = mFlows[aId];
  SetDeadline(aId, flow, std::nullopt);
  flow = EntryFlow();
  flow.mOpenedAt = aNow;
  flow.mLastSeen = aNow;
  return flow;
}

void
EntryCore::OnOpening(const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     Instant aNow)
{
  const FlowId id = CallerFlow(aPacket);
  const auto found = mFlows.find(id);
  if (found != mFlows.end() && !found->second.mOpening.empty() &&
      found->second.mCallerSequence == aPacket.mSequence) {
    found->second.mLastSeen = aNow;
    found->second.mPacket = aPacket;
    found->second.mOpening.assign(aBytes.begin(), aBytes.end());
    OnCopy(id, found->second, aNow);
    return;
  }
  if (mReplica.Complete() && !mRoutes->mRoutes.contains(aPacket.mDestination)) {
    OnUnknownRoute(id, aPacket);
    return;
  }
  EntryFlow& flow = AddFlow(id, aNow);
  flow.mCallerSequence = aPacket.mSequence;
  flow.mPacket = aPacket;
  flow.mOpening.assign(aBytes.begin(), aBytes.end());
  mRepeatBudget.OnRequest();
  if (!mReplica.Complete()) {
    mHeld.push_back(id);
    return;
  }
  MakeOffer(id, flow, aNow);
}

void
EntryCore::OnCopy(const FlowId& aId, EntryFlow& aFlow, Instant aNow)
{
  if (aFlow.mRejected) {
    mOutput.SendReset(aFlow.mPacket);
    return;
  }
  if (!mReplica.Complete()) {
    return; // Held since its first copy.
  }
  // The answer to the caller was lost: the backend server repeats it.
  for (const Offer& offer : aFlow.mOffers) {
    if (offer.mState == OfferState::Taken) {
      const auto route = mRoutes->mRoutes.find(aId.mService);
      const uint32_t tag = route == mRoutes->mRoutes.end()
                             ? 0
                             : ServiceTag(ServiceOf(route->second, aId));
      mOutput.SendToAgent(
        aFlow.mOpening, offer.mAgent, tag, TransitMark::OfferLast);
      return;
    }
  }
  // Refusals of 200 ms ago say little, and an agent that did not answer may
  // have restarted.
  aFlow.mOffers.clear();
  MakeOffer(aId, aFlow, aNow);
}

void
EntryCore::OnUnknownRoute(const FlowId& aId, const Packet& aPacket)
{
  EntryFlow none;
  none.mPacket = aPacket;
  // A route that is not known may have been added just now; the caller's
  // copies find the newer configuration. A removed one does not come back.
  const bool removed = mRemovedRoutes.contains(aId.mService);
  if (removed && mReplica.Complete()) {
    mOutput.SendReset(aPacket);
  }
  Decide(removed ? Verdict::Rejected : Verdict::Dropped,
         aId,
         none,
         {},
         Refusal::None,
         removed ? "route-removed" : "route-unknown",
         none.mOpenedAt);
}

const std::string&
EntryCore::ServiceOf(const cluster::Route& aRoute, const FlowId& aId) const
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  uint64_t total = 0;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    total += share.mWeight;
  }
  uint64_t point = HashWord(FlowHash(aId), kSplitSeed) % total;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    if (point < share.mWeight) {
      return share.mService;
    }
    point -= share.mWeight;
  }
  return aRoute.mServices.back().mService;
}

EntryCore::Servers
EntryCore::ServersOf(const cluster::Route& aRoute) const
{
  Servers servers;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    const auto found = mServers.find(share.mService);
    if (found != mServers.end()) {
      servers.insert(servers.end(), found->second.begin(), found->second.end());
    }
  }
  return servers;
}

void
EntryCore::OnOwnerNotice(cluster::NodeIp aFrom,
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
  for (const auto& [name, record] : mReplica.Backends()) {
    if (record.mAgent.mIp == aFrom.Value()) {
      flow.mOwner = record.mAgent;
      flow.mResolved = true;
      // The reply to the offer was lost; no other agent is asked.
      SetDeadline(aNotice.mFlow, flow, std::nullopt);
      mViews[record.mAgent].mUnanswered = 0;
      Decide(Verdict::Located,
             aNotice.mFlow,
             flow,
             record.mAgent,
             Refusal::None,
             {},
             aNow);
      return;
    }
  }
}

void
EntryCore::Resolve(EntryFlow& aFlow, const Packet& aPacket)
{
  if (aFlow.mResolved || !aPacket.mAck) {
    return;
  }
  for (const Offer& offer : aFlow.mOffers) {
    const uint32_t distance =
      aPacket.mAcknowledgement - offer.mBackendSequence - 1;
    if (offer.mState == OfferState::Taken && distance < kResolveWindow) {
      aFlow.mOwner = offer.mAgent;
      aFlow.mResolved = true;
      return;
    }
  }
}

void
EntryCore::Continue(const FlowId& aId,
                    EntryFlow& aFlow,
                    const Packet& aPacket,
                    std::span<const uint8_t> aBytes,
                    Instant aNow)
{
  Resolve(aFlow, aPacket);
  if (aFlow.mOwner) {
    mOutput.SendToAgent(aBytes, *aFlow.mOwner, 0, TransitMark::Owner);
    return;
  }
  // The reply of the agent that took the flow was lost or is on its way.
  if (!aFlow.mOffers.empty()) {
    for (const Offer& offer : aFlow.mOffers) {
      if (offer.mState != OfferState::Refused) {
        mOutput.SendToAgent(aBytes, offer.mAgent, 0, TransitMark::Locate);
      }
    }
    return;
  }
  Locate(aId, aFlow, aBytes, aNow);
}

void
EntryCore::Locate(const FlowId& aId,
                  EntryFlow& aFlow,
                  std::span<const uint8_t> aBytes,
                  Instant aNow)
{
  Servers servers;
  const auto route = mRoutes->mRoutes.find(aId.mService);
  if (route != mRoutes->mRoutes.end()) {
    servers = ServersOf(route->second);
  } else if (const auto removed = mRemovedRoutes.find(aId.mService);
             removed != mRemovedRoutes.end()) {
    servers = ServersOf(removed->second);
  }
  if (servers.empty() || ++aFlow.mLocateTries > kMaxLocates) {
    Decide(Verdict::Dropped,
           aId,
           aFlow,
           {},
           Refusal::None,
           servers.empty() ? "route-unknown" : "owner-not-found",
           aNow);
    return;
  }
  const size_t limit =
    aFlow.mLocateTries <= kNarrowLocates ? kLocateEach : kLocateAllEach;
  for (const Candidate& candidate :
       RankByHash(FlowHash(aId), servers, mDomain, limit)) {
    mOutput.SendToAgent(
      aBytes, candidate.mRecord->mAgent, 0, TransitMark::Locate);
  }
  Decide(Verdict::Locating, aId, aFlow, {}, Refusal::None, {}, aNow);
}

void
EntryCore::OfferHeld(Instant aNow)
{
  for (const FlowId& id : std::exchange(mHeld, {})) {
    const auto found = mFlows.find(id);
    if (found == mFlows.end() || !found->second.mOffers.empty()) {
      continue;
    }
    if (!mRoutes->mRoutes.contains(id.mService)) {
      OnUnknownRoute(id, found->second.mPacket);
      mFlows.erase(found);
      continue;
    }
    MakeOffer(id, found->second, aNow);
  }
}

void
EntryCore::OnReplicaChanged(cluster::Part aPart, Instant aNow)
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
  }
  RebuildServers();
  if (mReplica.Complete()) {
    OfferHeld(aNow);
  }
}

void
EntryCore::RebuildServers()
{
  mServers.clear();
  for (const auto& [name, record] : mReplica.Backends()) {
    mServers[record.mService].push_back(&record);
  }
  std::erase_if(mViews, [this](const auto& aView) {
    return !mReplica.Backends().contains(cluster::RecordName(aView.first));
  });
}

void
EntryCore::Expire(Instant aNow)
{
  const Duration idle = mRoutes->mIdleTimeout;
  std::erase_if(mFlows, [&](const auto& aEntry) {
    const EntryFlow& flow = aEntry.second;
    const Duration silence = aNow - flow.mLastSeen;
    if (flow.mClosing) {
      return silence > kClosedMemory;
    }
    if (!flow.mOwner) {
      return silence > kOpeningMemory;
    }
    return silence > idle;
  });
}

void
EntryCore::Decide(Verdict aVerdict,
                  const FlowId& aId,
                  const EntryFlow& aFlow,
                  const Address& aPeer,
                  Refusal aRefusal,
                  std::string_view aReason,
                  Instant aNow)
{
  Decision decision;
  decision.mVerdict = aVerdict;
  decision.mFlow = aId;
  decision.mPeer = aPeer;
  decision.mAttempt = static_cast<uint32_t>(aFlow.mOffers.size());
  decision.mRefusal = aRefusal;
  decision.mElapsed = aNow - aFlow.mOpenedAt;
  decision.mReason = aReason;
  const auto view = mViews.find(aPeer);
  if (view != mViews.end()) {
    decision.mLoad = view->second.mLoad;
    decision.mLoadAge = aNow - view->second.mLoadAt;
  }
  mDecisions.OnDecision(decision);
}

} // namespace snipepost::flow

#include <snipepost/Flow/FlowAgentCore.h>

#include <algorithm>
#include <cmath>

namespace snipepost::flow {

namespace {

/// A backend server answers a SYN within 0.3 ms; the rest allows for scheduling
/// delays on both sides.
constexpr Duration kSynAckTimeout = std::chrono::milliseconds(12);

/// A half-open flow counts as load for this long without a packet of the
/// caller, about one round trip to the caller. The caller may have chosen
/// another backend server, whose SYN-ACK arrived first.
constexpr Duration kHalfOpenLoadTime = std::chrono::milliseconds(60);

/// Service time assumed before the first response.
constexpr Duration kInitialServiceTime = std::chrono::milliseconds(25);

/// Limit of flows when the configuration sets none.
constexpr uint32_t kDefaultMaxFlows = 1000;

/// Largest distance of a caller's first acknowledgement from the backend
/// server's initial sequence number.
constexpr uint32_t kFirstAckWindow = 1U << 20;

} // namespace

FlowAgentCore::FlowAgentCore(AgentOptions aOptions,
                             const cluster::Replica& aReplica,
                             AgentOutput& aOutput,
                             DecisionSink& aDecisions,
                             Instant aStart)
  : mOptions(std::move(aOptions))
  , mReplica(aReplica)
  , mOutput(aOutput)
  , mDecisions(aDecisions)
  , mStart(aStart)
  , mStatus(mOptions.mService)
  , mScheduler(mOptions.mService, mOptions.mScheduleFlows)
  , mServiceTime(kInitialServiceTime)
{
}

void
FlowAgentCore::OnNodePacket(const Packet& aPacket,
                            std::span<const uint8_t> aBytes,
                            cluster::NodeIp aFrom,
                            Instant aNow)
{
  if (aPacket.IsSyn()) {
    OnSyn(aPacket, aBytes, aFrom, aNow);
    return;
  }
  const FlowTuple tuple = CallerFlow(aPacket);
  const auto found = mFlows.find(tuple);
  const bool lookedUp = aPacket.mMark == TransitMark::OwnerLookup;
  if (TracksAllFlows(aNow) &&
      (found == mFlows.end() || found->second.mTentative)) {
    if (found != mFlows.end()) {
      Erase(found);
    }
    NotifyNotOwned(tuple, aFrom, lookedUp, aNow);
    return;
  }
  const bool withheld = !WithinEvacuationGrace(aNow);
  if (found == mFlows.end()) {
    if (!withheld) {
      OnUnknownFlow(aPacket, aBytes, aFrom, aNow);
    }
    return;
  }
  AgentFlow& flow = found->second;
  if (!flow.mEstablished && !flow.mTentative &&
      !ChosenByCaller(flow, aPacket)) {
    // The caller chose another agent's backend server, and that agent's reply
    // did not reach the entry instance.
    NotifyNotOwned(tuple, aFrom, lookedUp, aNow);
    return;
  }
  if (flow.mOrphaned) {
    mOutput.SendReset(aPacket);
    ReportDecision(
      Verdict::Ended, tuple, aFrom, Refusal::None, aNow - flow.mOpenedAt);
    return;
  }
  if (flow.mReturned) {
    NotifyNotOwned(tuple, aFrom, lookedUp, aNow);
    return;
  }
  flow.mLastSeen = aNow;
  // Only a SYN shows what the entry instance can decode.
  flow.mEntryReadsWaits = flow.mEntryReadsWaits && flow.mEntry == aFrom;
  flow.mEntry = aFrom;
  flow.mLookedUp = lookedUp;
  if (withheld) {
    // The caller retransmits the packet; meanwhile its flow is not idle.
    if (lookedUp && flow.mEstablished) {
      NotifyOwned(tuple, flow);
    }
    return;
  }
  if (!flow.mEstablished && !flow.mTentative) {
    // The request follows, so the flow counts as load, also if
    // ReleaseHalfOpenLoad() had stopped counting it.
    flow.mEstablished = true;
    SetBusy(flow, true, aNow);
    mScheduler.Capacity().OnOpened(aNow - flow.mOpenedAt);
    flow.mRequestAt = aNow;
  }
  flow.mCallerFin = flow.mCallerFin || aPacket.mFin;
  if (lookedUp && !flow.mTentative) {
    NotifyOwned(tuple, flow);
  }
  if (HoldPacket(tuple, flow, aPacket, aBytes, aNow)) {
    return;
  }
  if (StartsRequest(flow, aPacket)) {
    SetBusy(flow, true, aNow);
    flow.mRequestAt = aNow;
  }
  flow.mForwarded.Add(aPacket);
  mOutput.SendToBackend(aBytes);
  if (aPacket.mReset) {
    Erase(found);
    ForwardWaitingFlows(aNow);
  }
}

bool
FlowAgentCore::ChosenByCaller(const AgentFlow& aFlow,
                              const Packet& aPacket) const
{
  const uint32_t distance =
    aPacket.mAcknowledgement - aFlow.mBackendSequence - 1;
  return aFlow.mSynAcked && (!aPacket.mAck || distance < kFirstAckWindow);
}

void
FlowAgentCore::OnUnknownFlow(const Packet& aPacket,
                             std::span<const uint8_t> aBytes,
                             cluster::NodeIp aFrom,
                             Instant aNow)
{
  if (mFlows.size() >= kMaxFlows) {
    return;
  }
  // The flow may have been opened before this agent started.
  AgentFlow& flow = mFlows[CallerFlow(aPacket)];
  flow.mTentative = true;
  flow.mLookedUp = aPacket.mMark == TransitMark::OwnerLookup;
  flow.mEntry = aFrom;
  flow.mOpenedAt = aNow;
  flow.mStartedAt = aNow;
  flow.mLastSeen = aNow;
  flow.mForwarded.Add(aPacket);
  mOutput.SendToBackend(aBytes);
}

bool
FlowAgentCore::TracksAllFlows(Instant aNow) const
{
  return mBackendStartedAfterAgent || aNow - mStart > mOptions.mFlowLimit;
}

bool
FlowAgentCore::WithinEvacuationGrace(Instant aNow)
{
  if (!mReplica.Evacuated(mOptions.mDomain)) {
    mEvacuatedSince.reset();
    return true;
  }
  if (!mEvacuatedSince) {
    mEvacuatedSince = aNow;
  }
  return aNow - *mEvacuatedSince < mOptions.mEvacuationGrace;
}

// A cold backend server accepts no flows before the routes are received, which
// contain its limit. A warm one does, since the entry instance has looked up
// the route.
bool
FlowAgentCore::Ready(Instant aNow) const
{
  const bool routesReceived =
    mReplica.Routes()->mVersion != cluster::ConfigVersion();
  return !mRecordMissing && aNow >= mAcceptsFrom && mStatus.HasHeartbeat() &&
         mReplica.Loaded(cluster::Part::Evacuations) &&
         (routesReceived || !mStatus.Cold(aNow));
}

std::optional<uint32_t>
FlowAgentCore::ColdBudget(Instant aNow)
{
  const auto routes = mReplica.Routes();
  const auto service = routes->mServices.find(mOptions.mService);
  if (!mStatus.Cold(aNow)) {
    return std::nullopt;
  }
  if (service == routes->mServices.end()) {
    return 0;
  }
  if (service->second.mColdPerSecond <= 0.0) {
    return std::nullopt;
  }
  return mStatus.ColdBudget(service->second.mColdPerSecond, aNow);
}

Refusal
FlowAgentCore::CheckAdmission(const Packet& aPacket,
                              bool aScheduled,
                              Instant aNow)
{
  const auto routes = mReplica.Routes();
  const auto route = routes->mRoutes.find(aPacket.mDestination);
  const auto service = routes->mServices.find(mOptions.mService);
  AdmissionInputs inputs;
  inputs.mMark = aPacket.mMark;
  inputs.mScheduled = aScheduled;
  inputs.mRetransmission = aPacket.mAcknowledgement > 0;
  inputs.mReady = Ready(aNow);
  inputs.mServiceMatches = aPacket.mServiceTag == ServiceTag(mOptions.mService);
  inputs.mEvacuated = mReplica.Evacuated(mOptions.mDomain);
  inputs.mDraining = mRefusesNewFlows || mStatus.Draining();
  inputs.mUnresponsive = mBackendEnded;
  inputs.mLoad = mLoad;
  inputs.mSlots = mStatus.Slots();
  inputs.mFlows = static_cast<uint32_t>(mFlows.size());
  inputs.mMaxFlows = kDefaultMaxFlows;
  inputs.mServiceTime = mServiceTime;
  if (service != routes->mServices.end()) {
    if (service->second.mMaxFlows > 0) {
      inputs.mMaxFlows = service->second.mMaxFlows;
    }
  }
  if (const auto budget = ColdBudget(aNow)) {
    inputs.mCold = true;
    inputs.mColdBudget = *budget;
  }
  if (route != routes->mRoutes.end()) {
    inputs.mKind = route->second.mKind;
    inputs.mObjective = route->second.mObjective;
    inputs.mTimeout = route->second.mTimeout;
  }
  const Refusal refusal = Admit(inputs);
  // Called only for a SYN that is otherwise accepted, which may be the probe.
  if (refusal != Refusal::None) {
    return refusal;
  }
  if (BackendUnresponsive(aNow)) {
    return Refusal::Silent;
  }
  const bool isFinal = aPacket.mMark == TransitMark::OfferFinal;
  if (!mBreaker.Admits(inputs.mKind, isFinal, aNow)) {
    return mBreaker.CurrentState() == CircuitBreaker::State::Open
             ? Refusal::Failing
             : Refusal::Busy;
  }
  return Refusal::None;
}

void
FlowAgentCore::OnSyn(const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     cluster::NodeIp aFrom,
                     Instant aNow)
{
  if (!aPacket.mOfferedToCandidate) {
    mLastUnconstrainedOffer = aNow;
  }
  const FlowTuple tuple = CallerFlow(aPacket);
  const auto found = mFlows.find(tuple);
  if (found != mFlows.end()) {
    const AgentFlow& flow = found->second;
    if (flow.mCallerSequence == aPacket.mSequence && !flow.mOrphaned &&
        !flow.mTentative) {
      // A SYN retransmission: the backend server repeats its SYN-ACK and counts
      // no second flow.
      found->second.mEntry = aFrom;
      found->second.mEntryReadsWaits = aPacket.mReadsWaits;
      found->second.mStartedAt = aNow;
      mOutput.SendToBackend(aBytes);
      return;
    }
    ForwardRequestOf(tuple, flow, aNow);
    Erase(found);
  }
  ReleaseHalfOpenLoad(aNow);
  const bool scheduled = IsScheduled(aPacket);
  if (WaitingFlow* waiting = mScheduler.Queue().Find(tuple)) {
    if (waiting->mCallerSequence == aPacket.mSequence && scheduled) {
      OnWaitingSyn(*waiting, aBytes, aFrom, aNow);
      return;
    }
    mScheduler.Queue().Remove(tuple);
  }
  const Refusal refusal = CheckAdmission(aPacket, scheduled, aNow);
  if (refusal != Refusal::None) {
    SendOfferReply({ aFrom, aPacket.mReadsWaits },
                   tuple,
                   aPacket.mSequence,
                   0,
                   refusal,
                   aNow);
    ReportDecision(Verdict::TurnedAway, tuple, aFrom, refusal, {});
    return;
  }
  if (scheduled) {
    ScheduleFlow(aPacket, aBytes, aFrom, aNow);
    return;
  }
  AcceptFlow(aPacket, aBytes, aFrom, aNow);
}

void
FlowAgentCore::AcceptFlow(const Packet& aPacket,
                          std::span<const uint8_t> aBytes,
                          cluster::NodeIp aFrom,
                          Instant aNow)
{
  AddFlow(
    CallerFlow(aPacket), aPacket.mSequence, aFrom, aPacket.mReadsWaits, aNow);
  mOutput.SendToBackend(aBytes);
}

void
FlowAgentCore::AddFlow(const FlowTuple& aTuple,
                       uint32_t aCallerSequence,
                       cluster::NodeIp aFrom,
                       bool aEntryReadsWaits,
                       Instant aNow)
{
  // While a SYN waits, late packets of the port's earlier flow may arrive.
  const auto earlier = mFlows.find(aTuple);
  if (earlier != mFlows.end()) {
    ForwardRequestOf(aTuple, earlier->second, aNow);
    Erase(earlier);
  }
  AgentFlow& flow = mFlows[aTuple];
  flow.mCallerSequence = aCallerSequence;
  flow.mEntry = aFrom;
  flow.mEntryReadsWaits = aEntryReadsWaits;
  flow.mOpenedAt = aNow;
  flow.mStartedAt = aNow;
  flow.mLastSeen = aNow;
  SetBusy(flow, true, aNow);
  mStatus.OnFlowAccepted(aNow);
  mAwaitingSynAck.push_back({ aNow + kSynAckTimeout, aTuple, aCallerSequence });
  mHalfOpenLoad.push_back(
    { aNow + kHalfOpenLoadTime, aTuple, aCallerSequence });
}

void
FlowAgentCore::SendOfferReply(const OfferSource& aTo,
                              const FlowTuple& aTuple,
                              uint32_t aCallerSequence,
                              uint32_t aBackendSequence,
                              Refusal aRefusal,
                              Instant aNow)
{
  OfferReply reply;
  reply.mFlow = aTuple;
  reply.mCallerSequence = aCallerSequence;
  reply.mRefusal = aRefusal;
  reply.mBackendSequence = aBackendSequence;
  reply.mLoad = static_cast<uint16_t>(std::min<uint32_t>(mLoad, UINT16_MAX));
  reply.mSlots =
    static_cast<uint16_t>(std::min<uint32_t>(mStatus.Slots(), UINT16_MAX));
  reply.mCold = mStatus.Cold(aNow);
  if (mScheduler.Active()) {
    reply.mAnnouncesWaits = true;
    if (aTo.mReadsWaits) {
      reply.mWaits = mScheduler.Waits(CurrentLoad(), aNow);
      reply.mServiceTime = mScheduler.Capacity().MeasuredServiceTime();
      reply.mUtilisation =
        static_cast<uint16_t>(std::lround(mUtilisation.At(aNow) * 1000.0));
    }
  }
  mOutput.SendToNode(aTo.mEntry, reply);
}

void
FlowAgentCore::NotifyOwned(const FlowTuple& aTuple, const AgentFlow& aFlow)
{
  mOutput.SendToNode(aFlow.mEntry, OwnerNotice{ aTuple, true });
}

void
FlowAgentCore::NotifyNotOwned(const FlowTuple& aTuple,
                              cluster::NodeIp aFrom,
                              bool aLookedUp,
                              Instant aNow)
{
  if (!aLookedUp) {
    ReportDecision(Verdict::NotOwned, aTuple, aFrom, Refusal::None, {});
    mOutput.SendToNode(aFrom, OwnerNotice{ aTuple, false });
    return;
  }
  // A flow that was offered to any server may be owned by one that the entry
  // instance does not ask.
  const bool unconstrained =
    mLastUnconstrainedOffer &&
    aNow - *mLastUnconstrainedOffer <= mOptions.mFlowLimit;
  if (!unconstrained) {
    mOutput.SendToNode(
      aFrom,
      OwnerExclusion{ aTuple, mReplica.Version(cluster::Part::Backends) });
  }
}

void
FlowAgentCore::ReportDecision(Verdict aVerdict,
                              const FlowTuple& aTuple,
                              cluster::NodeIp aPeer,
                              Refusal aRefusal,
                              Duration aElapsed,
                              std::string_view aReason)
{
  Decision decision;
  decision.mVerdict = aVerdict;
  decision.mFlow = aTuple;
  decision.mPeer = { aPeer.Value(), 0 };
  decision.mRefusal = aRefusal;
  decision.mLoad = mLoad;
  decision.mElapsed = aElapsed;
  decision.mReason = aReason;
  mDecisions.OnDecision(decision);
}

} // namespace snipepost::flow

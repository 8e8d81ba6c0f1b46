#include <snipepost/Flow/AgentCore.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// A backend server answers an opening packet within 0.3 ms; the rest is for
/// the processors of both.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(12);

/// Unanswered opening packets in a row that make a backend server silent, and
/// the time between trials then.
constexpr uint32_t kSilentAfter = 3;
constexpr Duration kTrialInterval = std::chrono::milliseconds(100);

/// An opening counts as load for this long without a packet of the caller,
/// about the way to the caller and back. The caller may have chosen another
/// backend server, whose answer came first.
constexpr Duration kOpeningLoad = std::chrono::milliseconds(60);

/// Service time assumed before the first answer.
constexpr Duration kFirstServiceTime = std::chrono::milliseconds(25);

/// Flows assumed to fit when the configuration does not say.
constexpr uint32_t kDefaultMaxFlows = 1000;

/// Largest distance of a caller's first acknowledgement from the start of the
/// backend server's sequence.
constexpr uint32_t kChosenWindow = 1U << 20;

} // namespace

AgentCore::AgentCore(AgentOptions aOptions,
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
  , mServiceTime(kFirstServiceTime)
{
}

void
AgentCore::OnNodePacket(const Packet& aPacket,
                        std::span<const uint8_t> aBytes,
                        cluster::NodeIp aFrom,
                        Instant aNow)
{
  if (aPacket.Opens()) {
    OnOpening(aPacket, aBytes, aFrom, aNow);
    return;
  }
  if (!PassesEvacuation(aNow)) {
    return;
  }
  const FlowId id = CallerFlow(aPacket);
  const auto found = mFlows.find(id);
  if (found == mFlows.end()) {
    OnUnknownFlow(aPacket, aBytes, aFrom, aNow);
    return;
  }
  AgentFlow& flow = found->second;
  if (!flow.mOpen && !flow.mTentative && !ChosenByCaller(flow, aPacket)) {
    // The caller chose another agent's backend server, whose reply the entry
    // instance did not get.
    TellNotOwned(id, aFrom, aPacket.mMark);
    return;
  }
  if (flow.mDead) {
    mOutput.SendReset(aPacket);
    Decide(Verdict::Ended, id, aFrom, Refusal::None, aNow - flow.mOpenedAt);
    return;
  }
  flow.mLastSeen = aNow;
  flow.mEntry = aFrom;
  if (!flow.mOpen && !flow.mTentative) {
    // The request follows; the opening may no longer have counted.
    flow.mOpen = true;
    SetBusy(flow, true, aNow);
  }
  flow.mCallerFin = flow.mCallerFin || aPacket.mFin;
  if (aPacket.mLength > 0 && !flow.mBusy) {
    SetBusy(flow, true, aNow);
  }
  if (aPacket.mMark == TransitMark::Locate && !flow.mTentative) {
    TellOwned(id, flow);
  }
  mOutput.SendToBackend(aBytes);
  if (aPacket.mReset) {
    Erase(found);
  }
}

bool
AgentCore::ChosenByCaller(const AgentFlow& aFlow, const Packet& aPacket) const
{
  const uint32_t distance =
    aPacket.mAcknowledgement - aFlow.mBackendSequence - 1;
  return aFlow.mAnswered && (!aPacket.mAck || distance < kChosenWindow);
}

void
AgentCore::OnUnknownFlow(const Packet& aPacket,
                         std::span<const uint8_t> aBytes,
                         cluster::NodeIp aFrom,
                         Instant aNow)
{
  const FlowId id = CallerFlow(aPacket);
  if (KnowsAllFlows(aNow)) {
    TellNotOwned(id, aFrom, aPacket.mMark);
    return;
  }
  if (mFlows.size() >= kMaxFlows) {
    return;
  }
  // The flow may have opened before this agent started.
  AgentFlow& flow = mFlows[id];
  flow.mTentative = true;
  flow.mEntry = aFrom;
  flow.mOpenedAt = aNow;
  flow.mLastSeen = aNow;
  mOutput.SendToBackend(aBytes);
}

bool
AgentCore::KnowsAllFlows(Instant aNow) const
{
  return mSawStart || aNow - mStart > mOptions.mFlowLimit;
}

bool
AgentCore::PassesEvacuation(Instant aNow)
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

bool
AgentCore::Silent(Instant aNow)
{
  if (mUnanswered < kSilentAfter) {
    return false;
  }
  if (aNow < mNextTrial) {
    return true;
  }
  mNextTrial = aNow + kTrialInterval;
  return false;
}

// The routes tell how many flows a cold backend server bears; a warm one is
// served without them, since the entry instance has looked up the route.
bool
AgentCore::Ready(Instant aNow) const
{
  const bool configured =
    mReplica.Routes()->mVersion != cluster::ConfigVersion();
  return mStatus.Known() && mReplica.Known(cluster::Part::Evacuations) &&
         (configured || !mStatus.Cold(aNow));
}

Refusal
AgentCore::Judge(const Packet& aPacket, Instant aNow)
{
  const auto routes = mReplica.Routes();
  const auto route = routes->mRoutes.find(aPacket.mDestination);
  const auto service = routes->mServices.find(mOptions.mService);
  AdmissionInputs inputs;
  inputs.mMark = aPacket.mMark;
  inputs.mCopy = aPacket.mAcknowledgement > 0;
  inputs.mReady = Ready(aNow);
  inputs.mServiceMatches = aPacket.mNote == ServiceTag(mOptions.mService);
  inputs.mEvacuated = mReplica.Evacuated(mOptions.mDomain);
  inputs.mDraining = mLeaving || mStatus.Draining();
  inputs.mCold = mStatus.Cold(aNow);
  inputs.mLoad = mLoad;
  inputs.mSlots = mStatus.Slots();
  inputs.mFlows = static_cast<uint32_t>(mFlows.size());
  inputs.mMaxFlows = kDefaultMaxFlows;
  inputs.mServiceTime = mServiceTime;
  if (service != routes->mServices.end()) {
    if (service->second.mMaxFlows > 0) {
      inputs.mMaxFlows = service->second.mMaxFlows;
    }
    const double perSecond = service->second.mColdPerSecond;
    inputs.mCold = inputs.mCold && perSecond > 0.0;
    if (inputs.mCold) {
      inputs.mColdBudget = mStatus.ColdBudget(perSecond, aNow);
    }
  }
  if (route != routes->mRoutes.end()) {
    inputs.mKind = route->second.mKind;
    inputs.mObjective = route->second.mObjective;
    inputs.mTimeout = route->second.mTimeout;
  }
  const Refusal refusal = Admit(inputs);
  if (refusal == Refusal::None && Silent(aNow)) {
    return Refusal::Silent;
  }
  return refusal;
}

void
AgentCore::OnOpening(const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     cluster::NodeIp aFrom,
                     Instant aNow)
{
  const FlowId id = CallerFlow(aPacket);
  const auto found = mFlows.find(id);
  if (found != mFlows.end()) {
    const AgentFlow& flow = found->second;
    if (flow.mCallerSequence == aPacket.mSequence && !flow.mDead &&
        !flow.mTentative) {
      // A copy: the backend server repeats its answer, which counts as one
      // flow with the first.
      found->second.mEntry = aFrom;
      mOutput.SendToBackend(aBytes);
      return;
    }
    Erase(found);
  }
  ReleaseOpenings(aNow);
  const Refusal refusal = Judge(aPacket, aNow);
  if (refusal != Refusal::None) {
    Reply(aFrom, id, aPacket.mSequence, 0, refusal, aNow);
    Decide(Verdict::TurnedAway, id, aFrom, refusal, {});
    return;
  }
  Take(aPacket, aBytes, aFrom, aNow);
}

void
AgentCore::Take(const Packet& aPacket,
                std::span<const uint8_t> aBytes,
                cluster::NodeIp aFrom,
                Instant aNow)
{
  const FlowId id = CallerFlow(aPacket);
  AgentFlow& flow = mFlows[id];
  flow.mCallerSequence = aPacket.mSequence;
  flow.mEntry = aFrom;
  flow.mTold = aFrom;
  flow.mOpenedAt = aNow;
  flow.mLastSeen = aNow;
  SetBusy(flow, true, aNow);
  mStatus.OnTaken(aNow);
  mPending.push_back({ aNow + kAnswerTimeout, id, aPacket.mSequence });
  mOpenings.push_back({ aNow + kOpeningLoad, id, aPacket.mSequence });
  mOutput.SendToBackend(aBytes);
}

void
AgentCore::Reply(cluster::NodeIp aTo,
                 const FlowId& aId,
                 uint32_t aCallerSequence,
                 uint32_t aBackendSequence,
                 Refusal aRefusal,
                 Instant aNow)
{
  OfferReply reply;
  reply.mFlow = aId;
  reply.mCallerSequence = aCallerSequence;
  reply.mRefusal = aRefusal;
  reply.mBackendSequence = aBackendSequence;
  reply.mLoad = static_cast<uint16_t>(std::min<uint32_t>(mLoad, UINT16_MAX));
  reply.mSlots =
    static_cast<uint16_t>(std::min<uint32_t>(mStatus.Slots(), UINT16_MAX));
  reply.mCold = mStatus.Cold(aNow);
  mOutput.SendToNode(aTo, reply);
}

void
AgentCore::TellOwned(const FlowId& aId, AgentFlow& aFlow)
{
  aFlow.mTold = aFlow.mEntry;
  mOutput.SendToNode(aFlow.mEntry, OwnerNotice{ aId, true });
}

void
AgentCore::TellNotOwned(const FlowId& aId,
                        cluster::NodeIp aFrom,
                        TransitMark aMark)
{
  // An entry instance that asks several agents expects one answer only.
  if (aMark == TransitMark::Locate) {
    return;
  }
  Decide(Verdict::NotOwned, aId, aFrom, Refusal::None, {});
  mOutput.SendToNode(aFrom, OwnerNotice{ aId, false });
}

HeartbeatOutcome
AgentCore::OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow)
{
  const bool first = !mStatus.Known();
  const HeartbeatOutcome outcome = mStatus.OnHeartbeat(aHeartbeat, aNow);
  if (outcome == HeartbeatOutcome::Restarted) {
    EndFlows();
    mSawStart = true;
    mUnanswered = 0;
  } else if (first && outcome == HeartbeatOutcome::Changed) {
    // The first heartbeat of an incarnation: no flow is older than the agent.
    mSawStart = aHeartbeat.mSequence <= 1 && mFlows.empty();
  }
  return outcome;
}

void
AgentCore::EndFlows()
{
  // A flow that this backend server has not answered belongs to another one.
  std::erase_if(mFlows, [](const auto& aEntry) {
    return !aEntry.second.mOpen && !aEntry.second.mAnswered;
  });
  for (auto& [id, flow] : mFlows) {
    flow.mDead = true;
    flow.mBusy = false;
  }
  mLoad = 0;
  mSaturatedSince.reset();
  mPending.clear();
  mOpenings.clear();
}

bool
AgentCore::OnDeregister(const std::string& aId)
{
  return mStatus.OnDeregister(aId);
}

void
AgentCore::Decide(Verdict aVerdict,
                  const FlowId& aId,
                  cluster::NodeIp aPeer,
                  Refusal aRefusal,
                  Duration aElapsed,
                  std::string_view aReason)
{
  Decision decision;
  decision.mVerdict = aVerdict;
  decision.mFlow = aId;
  decision.mPeer = { aPeer.Value(), 0 };
  decision.mRefusal = aRefusal;
  decision.mLoad = mLoad;
  decision.mElapsed = aElapsed;
  decision.mReason = aReason;
  mDecisions.OnDecision(decision);
}

} // namespace snipepost::flow

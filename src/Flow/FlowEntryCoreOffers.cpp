// Choice of the agents that an entry instance offers a flow to.

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>

#include <snipepost/Flow/SynSchedule.h>

namespace snipepost::flow {

namespace {

/// Limits of the candidates for one flow in the local failure domain, and in
/// all of them. An instance whose domain has no candidates, for example because
/// it is evacuated, has as many to choose from as others.
constexpr size_t kLocalCandidateLimit = 4;
constexpr size_t kCandidateLimit = 8;

/// Number of offers that are accepted only with a free slot. A further one
/// would delay the flow by a round trip to yet another failure domain. It would
/// also cost both instances two packets at a time when all agents are busy and
/// processors are overloaded.
constexpr size_t kFreeSlotOffers = 2;

/// Timeouts for the reply to an offer: a handshake takes 0.3 ms, the round trip
/// to another failure domain about 8 ms.
constexpr Duration kLocalReplyTimeout = std::chrono::milliseconds(15);
constexpr Duration kRemoteReplyTimeout = std::chrono::milliseconds(30);

constexpr Duration kMaxReplyTimeout = std::chrono::milliseconds(80);

/// An overload up to this age is considered a short load spike. After an
/// outage, the requests of about 1.5 s arrive at the same time. SYN
/// retransmissions spread them over 600 ms; resets would use up the callers'
/// few retries at once.
constexpr Duration kShortOverload = std::chrono::milliseconds(1500);

/// An overload has ended when no flow failed because of full agents for this
/// long.
constexpr Duration kOverloadPause = std::chrono::milliseconds(500);

} // namespace

std::vector<Candidate>
FlowEntryCore::EligibleCandidates(const FlowTuple& aTuple,
                                  const EntryFlow& aFlow,
                                  const std::string& aService)
{
  const auto table = mTables.find(aService);
  if (table == mTables.end()) {
    return {};
  }
  std::vector<Candidate> eligible;
  for (Candidate& candidate :
       table->second.Candidates(FlowHash(aTuple), mOptions.mDomain)) {
    const cluster::BackendRecord& server = *candidate.mRecord;
    const auto offered =
      std::ranges::find(aFlow.mOffers, server.mAgent, &Offer::mAgent);
    const size_t limit =
      candidate.mLocal ? kLocalCandidateLimit : kCandidateLimit;
    if (eligible.size() == limit ||
        server.mState != cluster::BackendState::Ready ||
        mReplica.Evacuated(server.mDomain) || offered != aFlow.mOffers.end()) {
      continue;
    }
    candidate.mView = &mViews[server.mAgent];
    eligible.push_back(candidate);
  }
  return eligible;
}

void
FlowEntryCore::MakeOffer(const FlowTuple& aTuple,
                         EntryFlow& aFlow,
                         Instant aNow)
{
  SetDeadline(aTuple, aFlow, std::nullopt);
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  if (route == mRoutes->mRoutes.end()) {
    Reject(aTuple, aFlow, "route-removed", aNow);
    return;
  }
  const bool canOverflow = CanOverflow(route->second);
  const auto offerToChosen = [&](size_t aAgents) {
    return !aFlow.mThrottled && OfferToService(aTuple,
                                               aFlow,
                                               route->second,
                                               ServiceOf(route->second, aTuple),
                                               { aAgents, kFreeSlotOffers },
                                               aNow);
  };
  if (offerToChosen(canOverflow ? kMaxOffers - kOverflowOffers : kMaxOffers)) {
    return;
  }
  if (canOverflow) {
    if (OfferToOtherServices(aTuple, aFlow, route->second, aNow)) {
      return;
    }
    // No further agent of another service can be asked: the offers that were
    // kept for them are made to the chosen service.
    if (offerToChosen(kMaxOffers)) {
      return;
    }
  }
  FailPlacement(aTuple, aFlow, aNow);
}

bool
FlowEntryCore::OfferToService(const FlowTuple& aTuple,
                              EntryFlow& aFlow,
                              const cluster::Route& aRoute,
                              const std::string& aService,
                              const OfferLimits& aLimits,
                              Instant aNow)
{
  auto candidates = EligibleCandidates(aTuple, aFlow, aService);
  const size_t made = aFlow.mOverflowed
                        ? OffersTo(aFlow.mOffers, ServiceTag(aService))
                        : aFlow.mOffers.size();
  const bool offersLeft =
    made < aLimits.mAgents && aFlow.mOffers.size() < kMaxOffers;
  if (IsScheduled(aService)) {
    RemoveRefusing(aFlow, aService, aRoute, candidates, aNow);
    if (offersLeft &&
        OfferForQueueing(aTuple, aFlow, aRoute, candidates, aNow)) {
      return true;
    }
  }
  // Enough agents were busy: the best of them is offered the flow for queueing.
  if (made >= kFreeSlotOffers &&
      OfferToBusyAgent(aTuple, aFlow, aService, aNow)) {
    return true;
  }
  const auto best = offersLeft
                      ? ChooseCandidate(aRoute, aService, candidates, aNow)
                      : std::nullopt;
  if (!best) {
    return OfferToBusyAgent(aTuple, aFlow, aService, aNow);
  }
  const bool isFinal =
    made >= aLimits.mFreeSlotOffers || candidates.size() == 1;
  SendOffer(aTuple,
            aFlow,
            candidates[*best],
            isFinal ? TransitMark::OfferFinal : TransitMark::OfferIfFree,
            aNow);
  return true;
}

bool
FlowEntryCore::OfferToBusyAgent(const FlowTuple& aTuple,
                                EntryFlow& aFlow,
                                const std::string& aService,
                                Instant aNow)
{
  const Offer* best = BestBusyOffer(aTuple, aFlow, aService, aNow);
  if (!best) {
    return false;
  }
  const Address agent = best->mAgent;
  const auto record = mReplica.Backends().find(cluster::RecordName(agent));
  if (record == mReplica.Backends().end() ||
      record->second.mService != aService) {
    return false;
  }
  std::erase_if(aFlow.mOffers, [&agent](const Offer& aOffer) {
    return aOffer.mAgent == agent;
  });
  SendOffer(aTuple,
            aFlow,
            CandidateOf(record->second, mViews[agent]),
            TransitMark::OfferFinal,
            aNow);
  return true;
}

Candidate
FlowEntryCore::CandidateOf(const cluster::BackendRecord& aServer,
                           const AgentView& aView) const
{
  return { &aServer, &aView, aServer.mDomain == mOptions.mDomain, 0 };
}

Duration
FlowEntryCore::ReplyTimeout(const Candidate& aCandidate) const
{
  const Duration minimum =
    aCandidate.mLocal ? kLocalReplyTimeout : kRemoteReplyTimeout;
  return std::clamp(
    aCandidate.mView->mReplyTime * 3, minimum, kMaxReplyTimeout);
}

void
FlowEntryCore::SendOffer(const FlowTuple& aTuple,
                         EntryFlow& aFlow,
                         const Candidate& aCandidate,
                         TransitMark aMark,
                         Instant aNow)
{
  const Address& agent = aCandidate.mRecord->mAgent;
  AgentView& view = mViews[agent];
  const std::string& service = aCandidate.mRecord->mService;
  const uint32_t tag = ServiceTag(service);
  aFlow.mOffers.push_back(
    { agent, aNow, OfferState::Pending, Refusal::None, aMark, 0, tag, 0.0 });
  SetDeadline(aTuple, aFlow, aNow + ReplyTimeout(aCandidate));
  mOutput.SendToAgent(aFlow.mSynBytes,
                      agent,
                      tag,
                      aMark,
                      IsScheduled(service) && ReadsWaits(view, aNow));
  ReportDecision(
    Verdict::Offered, aTuple, aFlow, agent, Refusal::None, {}, aNow);
  view.mLoad = EstimatedLoad(view, aNow) + 1.0;
  view.mLoadAt = aNow;
}

void
FlowEntryCore::FailPlacement(const FlowTuple& aTuple,
                             EntryFlow& aFlow,
                             Instant aNow)
{
  if (MayStillBeAccepted(aFlow.mOffers)) {
    ReportDecision(Verdict::Dropped,
                   aTuple,
                   aFlow,
                   {},
                   Refusal::None,
                   "no-candidate-left",
                   aNow);
    return;
  }
  const bool overloaded =
    std::ranges::any_of(aFlow.mOffers, [](const Offer& aOffer) {
      return aOffer.mRefusal == Refusal::Full;
    });
  CountRefusals(aTuple, aFlow, aNow);
  // A flow that several services refused is reset at once, so that its caller's
  // retry can still be served in time.
  if (overloaded && ExpectsRetransmission(aTuple, aFlow, aNow) &&
      !aFlow.mOverflowed) {
    ReportDecision(Verdict::Dropped,
                   aTuple,
                   aFlow,
                   {},
                   Refusal::Full,
                   "copy-may-be-served",
                   aNow);
    return;
  }
  Reject(aTuple,
         aFlow,
         aFlow.mOffers.empty() ? "no-backend-server" : "all-refused",
         aNow);
}

bool
FlowEntryCore::ExpectsRetransmission(const FlowTuple& aTuple,
                                     const EntryFlow& aFlow,
                                     Instant aNow)
{
  if (aNow - mLastOverload > kOverloadPause) {
    mOverloadSince = aNow;
  }
  mLastOverload = aNow;
  return aNow - mOverloadSince < kShortOverload &&
         aFlow.mSynPacket.mAcknowledgement < SynSchedule::kLastCopy &&
         !RetransmissionIsLate(aTuple, aFlow);
}

void
FlowEntryCore::Reject(const FlowTuple& aTuple,
                      EntryFlow& aFlow,
                      std::string_view aReason,
                      Instant aNow)
{
  aFlow.mRejected = true;
  mOutput.SendReset(aFlow.mSynPacket);
  const Refusal last =
    aFlow.mOffers.empty() ? Refusal::None : aFlow.mOffers.back().mRefusal;
  ReportDecision(Verdict::Rejected, aTuple, aFlow, {}, last, aReason, aNow);
}

} // namespace snipepost::flow

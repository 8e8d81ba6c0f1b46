// Choice of the agents that an entry instance offers a flow to, and handling of
// their replies.

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Limit of the candidates for one flow in the local failure domain, and of
/// those in all others together.
constexpr size_t kCandidateLimit = 4;

/// Number of offers that are accepted only with a free slot. A further one
/// would delay the flow by a round trip to yet another failure domain. It would
/// also cost both instances two packets at a time when all agents are busy and
/// processors are overloaded.
constexpr size_t kFreeSlotOffers = 2;

/// Maximum number of offers, including agents that are full or do not reply.
constexpr size_t kMaxOffers = 5;

/// Timeouts for the reply to an offer: a handshake takes 0.3 ms, the round trip
/// to another failure domain about 8 ms.
constexpr Duration kLocalReplyTimeout = std::chrono::milliseconds(15);
constexpr Duration kRemoteReplyTimeout = std::chrono::milliseconds(30);

constexpr Duration kMaxReplyTimeout = std::chrono::milliseconds(80);

/// Consecutive offers without a reply after which an agent is avoided.
constexpr uint32_t kUnansweredLimit = 2;

/// Time and number of offers without a reply after which an agent is considered
/// crashed. Network partitions and restarts end within 12 s.
constexpr Duration kDeadAfter = std::chrono::seconds(25);
constexpr uint32_t kDeadOffers = 6;

/// Time for which an agent that does not reply is avoided, doubled with each
/// further unanswered offer.
constexpr Duration kInitialAvoidTime = std::chrono::milliseconds(100);
constexpr Duration kMaxAvoidTime = std::chrono::seconds(1);

/// An overload up to this age is considered a short load spike. After an
/// outage, the requests of about 1.5 s arrive at the same time. SYN
/// retransmissions spread them over 600 ms; resets would use up the callers'
/// few retries at once.
constexpr Duration kShortOverload = std::chrono::milliseconds(1500);

/// An overload has ended when no flow failed because of full agents for this
/// long.
constexpr Duration kOverloadPause = std::chrono::milliseconds(500);

/// Number of a caller's last SYN retransmission.
constexpr uint32_t kLastRetransmission = 2;

/// Time for which an agent that refused is avoided while other candidates are
/// left.
Duration
AvoidTime(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::Full:
      return std::chrono::milliseconds(30);
    case Refusal::Cold:
      return std::chrono::milliseconds(100);
    case Refusal::NotReady:
    case Refusal::Silent:
    case Refusal::Failing:
      return std::chrono::milliseconds(150);
    case Refusal::Draining:
    case Refusal::Evacuated:
    case Refusal::WrongService:
      return std::chrono::milliseconds(500);
    case Refusal::None:
    case Refusal::Busy:
    case Refusal::Queued:
      break;
  }
  return Duration::zero();
}

/// True when a retransmission of the SYN some 100 ms later may be accepted.
bool
IsTransient(Refusal aRefusal)
{
  return aRefusal == Refusal::NotReady || aRefusal == Refusal::Silent ||
         aRefusal == Refusal::Cold;
}

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
  size_t local = 0;
  size_t remote = 0;
  for (Candidate& candidate :
       table->second.Candidates(FlowHash(aTuple), mOptions.mDomain)) {
    const cluster::BackendRecord& server = *candidate.mRecord;
    const auto offered =
      std::ranges::find(aFlow.mOffers, server.mAgent, &Offer::mAgent);
    size_t& count = candidate.mLocal ? local : remote;
    if (count == kCandidateLimit ||
        server.mState != cluster::BackendState::Ready ||
        mReplica.Evacuated(server.mDomain) || offered != aFlow.mOffers.end()) {
      continue;
    }
    ++count;
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
  const std::string& service = ServiceOf(route->second, aTuple);
  const auto candidates = EligibleCandidates(aTuple, aFlow, service);
  const size_t made = aFlow.mOffers.size();
  // Enough agents were busy: the least loaded of them is offered the flow for
  // queueing.
  if (made >= kFreeSlotOffers &&
      OfferToBusyAgent(aTuple, aFlow, service, aNow)) {
    return;
  }
  const auto best =
    made < kMaxOffers ? BestCandidate(candidates, aNow) : std::nullopt;
  if (best) {
    const bool isFinal = made >= kFreeSlotOffers || candidates.size() == 1;
    SendOffer(aTuple,
              aFlow,
              candidates[*best],
              isFinal ? TransitMark::OfferFinal : TransitMark::OfferIfFree,
              aNow);
    return;
  }
  if (!OfferToBusyAgent(aTuple, aFlow, service, aNow)) {
    FailPlacement(aTuple, aFlow, aNow);
  }
}

bool
FlowEntryCore::OfferToBusyAgent(const FlowTuple& aTuple,
                                EntryFlow& aFlow,
                                const std::string& aService,
                                Instant aNow)
{
  Offer* leastLoaded = nullptr;
  for (Offer& offer : aFlow.mOffers) {
    const bool busy = offer.mState == OfferState::Refused &&
                      offer.mRefusal == Refusal::Busy &&
                      offer.mMark != TransitMark::OfferFinal;
    if (busy && (!leastLoaded || offer.mLoad < leastLoaded->mLoad)) {
      leastLoaded = &offer;
    }
  }
  if (!leastLoaded) {
    return false;
  }
  const Address agent = leastLoaded->mAgent;
  const auto record = mReplica.Backends().find(cluster::RecordName(agent));
  if (record == mReplica.Backends().end() ||
      record->second.mService != aService) {
    return false;
  }
  std::erase_if(aFlow.mOffers, [&agent](const Offer& aOffer) {
    return aOffer.mAgent == agent;
  });
  const bool isLocal = record->second.mDomain == mOptions.mDomain;
  const Candidate candidate{ &record->second, &mViews[agent], isLocal, 0 };
  SendOffer(aTuple, aFlow, candidate, TransitMark::OfferFinal, aNow);
  return true;
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
  aFlow.mOffers.push_back(
    { agent, aNow, OfferState::Pending, Refusal::None, aMark, 0, 0.0 });
  SetDeadline(aTuple, aFlow, aNow + ReplyTimeout(aCandidate));
  mOutput.SendToAgent(aFlow.mSynBytes,
                      agent,
                      ServiceTag(aCandidate.mRecord->mService),
                      aMark,
                      false);
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
  const bool mayStillBeAccepted =
    std::ranges::any_of(aFlow.mOffers, [](const Offer& aOffer) {
      return aOffer.mState == OfferState::Pending ||
             aOffer.mState == OfferState::TimedOut ||
             aOffer.mState == OfferState::Accepted ||
             IsTransient(aOffer.mRefusal);
    });
  if (mayStillBeAccepted) {
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
  if (overloaded && ExpectsRetransmission(aFlow, aNow)) {
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
FlowEntryCore::ExpectsRetransmission(const EntryFlow& aFlow, Instant aNow)
{
  if (aNow - mLastOverload > kOverloadPause) {
    mOverloadSince = aNow;
  }
  mLastOverload = aNow;
  return aNow - mOverloadSince < kShortOverload &&
         aFlow.mSynPacket.mAcknowledgement < kLastRetransmission;
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

FlowEntryCore::Offer*
FlowEntryCore::FindOffer(EntryFlow& aFlow, cluster::NodeIp aAgent)
{
  const auto found =
    std::ranges::find(aFlow.mOffers, aAgent.Value(), [](const Offer& aOffer) {
      return aOffer.mAgent.mIp;
    });
  return found == aFlow.mOffers.end() ? nullptr : &*found;
}

void
FlowEntryCore::UpdateView(AgentView& aView,
                          const OfferReply& aReply,
                          Instant aNow)
{
  aView.mLoad = aReply.mLoad;
  aView.mLoadAt = aNow;
  aView.mCold = aReply.mCold;
  aView.mUnansweredOffers = 0;
  aView.mLastRefusal = aReply.mRefusal;
  aView.mAvoidUntil = aNow + AvoidTime(aReply.mRefusal);
}

void
FlowEntryCore::OnOfferReply(cluster::NodeIp aFrom,
                            const OfferReply& aReply,
                            Instant aNow)
{
  const auto found = mFlows.find(aReply.mFlow);
  if (found == mFlows.end() ||
      found->second.mCallerSequence != aReply.mCallerSequence) {
    return;
  }
  EntryFlow& flow = found->second;
  Offer* offer = FindOffer(flow, aFrom);
  if (!offer || offer->mState == OfferState::Accepted) {
    return;
  }
  AgentView& view = mViews[offer->mAgent];
  UpdateView(view, aReply, aNow);
  const Duration replyTime = aNow - offer->mSentAt;
  view.mReplyTime = view.mReplyTime == Duration::zero()
                      ? replyTime
                      : (view.mReplyTime * 7 + replyTime) / 8;
  offer->mLoad = aReply.mLoad;
  offer->mRefusal = aReply.mRefusal;
  const bool wasPending = offer->mState == OfferState::Pending;
  if (aReply.mRefusal == Refusal::None) {
    offer->mState = OfferState::Accepted;
    offer->mBackendSequence = aReply.mBackendSequence;
    if (!flow.mOwner) {
      flow.mOwner = offer->mAgent;
    }
    SetDeadline(aReply.mFlow, flow, std::nullopt);
    ReportDecision(Verdict::Placed,
                   aReply.mFlow,
                   flow,
                   offer->mAgent,
                   Refusal::None,
                   {},
                   aNow);
    return;
  }
  offer->mState = OfferState::Refused;
  ReportDecision(Verdict::Refused,
                 aReply.mFlow,
                 flow,
                 offer->mAgent,
                 aReply.mRefusal,
                 {},
                 aNow);
  if (wasPending && !flow.mOwner && !flow.mRejected) {
    MakeOffer(aReply.mFlow, flow, aNow);
  }
}

void
FlowEntryCore::SetDeadline(const FlowTuple& aTuple,
                           EntryFlow& aFlow,
                           std::optional<Instant> aDeadline)
{
  if (aFlow.mDeadline) {
    mDeadlines.erase({ *aFlow.mDeadline, aTuple });
  }
  aFlow.mDeadline = aDeadline;
  if (aDeadline) {
    mDeadlines.emplace(*aDeadline, aTuple);
  }
}

std::optional<Instant>
FlowEntryCore::NextDeadline() const
{
  if (mDeadlines.empty()) {
    return std::nullopt;
  }
  return mDeadlines.begin()->first;
}

void
FlowEntryCore::OnTimer(Instant aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const FlowTuple tuple = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mFlows.find(tuple);
    // After the process was frozen, the flow may have expired, and a later
    // packet may have added it again.
    if (found == mFlows.end()) {
      continue;
    }
    found->second.mDeadline.reset();
    EntryFlow& flow = found->second;
    if (flow.mOffers.empty()) {
      if (!flow.mLookup.mPacketBytes.empty()) {
        ResumeLookup(tuple, flow, aNow);
      }
      continue;
    }
    Offer& offer = flow.mOffers.back();
    offer.mState = OfferState::TimedOut;
    AgentView& view = mViews[offer.mAgent];
    CountUnanswered(view, offer.mSentAt);
    if (view.mUnansweredOffers >= kUnansweredLimit) {
      const uint32_t doublings =
        std::min(view.mUnansweredOffers - kUnansweredLimit, 4U);
      view.mAvoidUntil =
        aNow + std::min(kInitialAvoidTime * (1U << doublings), kMaxAvoidTime);
    }
    ReportDecision(
      Verdict::Unanswered, tuple, flow, offer.mAgent, Refusal::None, {}, aNow);
    if (mRetryBudget.TryRetry()) {
      MakeOffer(tuple, flow, aNow);
    }
  }
}

void
FlowEntryCore::CountUnanswered(AgentView& aView, Instant aSentAt)
{
  if (aView.mUnansweredOffers == 0) {
    aView.mUnansweredSince = aSentAt;
  }
  ++aView.mUnansweredOffers;
}

std::vector<std::string>
FlowEntryCore::DeadRecords(Instant aNow) const
{
  std::vector<std::string> names;
  for (const auto& [agent, view] : mViews) {
    if (view.mUnansweredOffers >= kDeadOffers &&
        aNow - view.mUnansweredSince > kDeadAfter) {
      names.push_back(cluster::RecordName(agent));
    }
  }
  return names;
}

size_t
FlowEntryCore::AvoidedAgents(Instant aNow) const
{
  return static_cast<size_t>(
    std::ranges::count_if(mViews, [aNow](const auto& aView) {
      return aNow < aView.second.mAvoidUntil;
    }));
}

} // namespace snipepost::flow

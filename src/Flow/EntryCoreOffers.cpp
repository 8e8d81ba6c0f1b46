// The offers of an entry instance: whom they go to, what their replies mean.

#include <snipepost/Flow/EntryCore.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Candidates of the own failure domain and of the others for one flow.
constexpr size_t kCandidatesEach = 4;

/// Offers that only a free slot accepts. More of them would cost the path to
/// yet another failure domain for each, and two packets of both instances when
/// all are busy and processors are short.
constexpr size_t kFreeOffers = 2;

/// Offers in all, for agents that are full or that do not answer.
constexpr size_t kMaxOffers = 5;

/// Wait for the reply to an offer: a handshake takes 0.3 ms, the path to
/// another failure domain and back about 8 ms.
constexpr Duration kLocalReplyTimeout = std::chrono::milliseconds(15);
constexpr Duration kRemoteReplyTimeout = std::chrono::milliseconds(30);

constexpr Duration kMaxReplyTimeout = std::chrono::milliseconds(80);

/// Offers in a row without a reply, after which an agent is avoided.
constexpr uint32_t kUnansweredLimit = 2;

/// Time and offers without an answer after which a record counts as left
/// behind by a crash. Cuts and restarts end within 12 s.
constexpr Duration kDeadAfter = std::chrono::seconds(25);
constexpr uint32_t kDeadOffers = 6;

constexpr Duration kFirstAvoid = std::chrono::milliseconds(100);
constexpr Duration kLongestAvoid = std::chrono::seconds(1);

/// An overload this young is taken for a wave that passes, as after an outage,
/// when the callers of a second and a half come back together. Their copies
/// spread them over 600 ms; resets would use up their few retries at once.
constexpr Duration kShortOverload = std::chrono::milliseconds(1500);

/// Time without a full refusal that ends an overload.
constexpr Duration kOverloadPause = std::chrono::milliseconds(500);

/// Number of the last copy of an opening packet.
constexpr uint32_t kLastCopy = 2;

/// How long an agent that refused is passed over while others are left.
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
      return std::chrono::milliseconds(150);
    case Refusal::Draining:
    case Refusal::Evacuated:
    case Refusal::WrongService:
      return std::chrono::milliseconds(500);
    case Refusal::None:
    case Refusal::Busy:
      break;
  }
  return Duration::zero();
}

/// True when a copy of the opening packet may be taken some 100 ms later.
bool
MayPass(Refusal aRefusal)
{
  return aRefusal == Refusal::NotReady || aRefusal == Refusal::Silent ||
         aRefusal == Refusal::Cold;
}

} // namespace

std::vector<Candidate>
EntryCore::OpenCandidates(const FlowId& aId,
                          const EntryFlow& aFlow,
                          const std::string& aService)
{
  Servers open;
  const auto found = mServers.find(aService);
  if (found == mServers.end()) {
    return {};
  }
  for (const cluster::BackendRecord* server : found->second) {
    const auto offered =
      std::ranges::find(aFlow.mOffers, server->mAgent, &Offer::mAgent);
    if (server->mState == cluster::BackendState::Ready &&
        !mReplica.Evacuated(server->mDomain) &&
        offered == aFlow.mOffers.end()) {
      open.push_back(server);
    }
  }
  auto candidates = RankByHash(FlowHash(aId), open, mDomain, kCandidatesEach);
  for (Candidate& candidate : candidates) {
    candidate.mView = &mViews[candidate.mRecord->mAgent];
  }
  return candidates;
}

void
EntryCore::MakeOffer(const FlowId& aId, EntryFlow& aFlow, Instant aNow)
{
  SetDeadline(aId, aFlow, std::nullopt);
  const auto route = mRoutes->mRoutes.find(aId.mService);
  if (route == mRoutes->mRoutes.end()) {
    Reject(aId, aFlow, "route-removed", aNow);
    return;
  }
  const std::string& service = ServiceOf(route->second, aId);
  const auto candidates = OpenCandidates(aId, aFlow, service);
  const size_t made = aFlow.mOffers.size();
  // Enough agents were busy: the least loaded of them is asked to queue.
  if (made >= kFreeOffers && OfferToBusy(aId, aFlow, service, aNow)) {
    return;
  }
  const auto best =
    made < kMaxOffers ? BestCandidate(candidates, aNow) : std::nullopt;
  if (best) {
    const bool last = made >= kFreeOffers || candidates.size() == 1;
    SendOffer(aId,
              aFlow,
              candidates[*best],
              last ? TransitMark::OfferLast : TransitMark::OfferFree,
              aNow);
    return;
  }
  if (!OfferToBusy(aId, aFlow, service, aNow)) {
    GiveUp(aId, aFlow, aNow);
  }
}

bool
EntryCore::OfferToBusy(const FlowId& aId,
                       EntryFlow& aFlow,
                       const std::string& aService,
                       Instant aNow)
{
  Offer* least = nullptr;
  for (Offer& offer : aFlow.mOffers) {
    const bool busy = offer.mState == OfferState::Refused &&
                      offer.mRefusal == Refusal::Busy &&
                      offer.mMark != TransitMark::OfferLast;
    if (busy && (!least || offer.mLoad < least->mLoad)) {
      least = &offer;
    }
  }
  if (!least) {
    return false;
  }
  const Address agent = least->mAgent;
  const auto servers = mServers.find(aService);
  if (servers == mServers.end()) {
    return false;
  }
  const auto record =
    std::ranges::find(servers->second, agent, &cluster::BackendRecord::mAgent);
  if (record == servers->second.end()) {
    return false;
  }
  std::erase_if(aFlow.mOffers, [&agent](const Offer& aOffer) {
    return aOffer.mAgent == agent;
  });
  const Candidate candidate{
    *record, &mViews[agent], (*record)->mDomain == mDomain, 0
  };
  SendOffer(aId, aFlow, candidate, TransitMark::OfferLast, aNow);
  return true;
}

Duration
EntryCore::ReplyTimeout(const Candidate& aCandidate) const
{
  const Duration least =
    aCandidate.mLocal ? kLocalReplyTimeout : kRemoteReplyTimeout;
  return std::clamp(aCandidate.mView->mReplyTime * 3, least, kMaxReplyTimeout);
}

void
EntryCore::SendOffer(const FlowId& aId,
                     EntryFlow& aFlow,
                     const Candidate& aCandidate,
                     TransitMark aMark,
                     Instant aNow)
{
  const Address& agent = aCandidate.mRecord->mAgent;
  AgentView& view = mViews[agent];
  aFlow.mOffers.push_back(
    { agent, aNow, OfferState::Waiting, Refusal::None, aMark, 0, 0.0 });
  SetDeadline(aId, aFlow, aNow + ReplyTimeout(aCandidate));
  mOutput.SendToAgent(
    aFlow.mOpening, agent, ServiceTag(aCandidate.mRecord->mService), aMark);
  Decide(Verdict::Offered, aId, aFlow, agent, Refusal::None, {}, aNow);
  view.mLoad = LoadNow(view, aNow) + 1.0;
  view.mLoadAt = aNow;
}

void
EntryCore::GiveUp(const FlowId& aId, EntryFlow& aFlow, Instant aNow)
{
  const bool undecided =
    std::ranges::any_of(aFlow.mOffers, [](const Offer& aOffer) {
      return aOffer.mState == OfferState::Waiting ||
             aOffer.mState == OfferState::Late ||
             aOffer.mState == OfferState::Taken || MayPass(aOffer.mRefusal);
    });
  if (undecided) {
    Decide(Verdict::Dropped,
           aId,
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
  if (overloaded && AwaitsCopy(aFlow, aNow)) {
    Decide(Verdict::Dropped,
           aId,
           aFlow,
           {},
           Refusal::Full,
           "copy-may-be-served",
           aNow);
    return;
  }
  Reject(aId,
         aFlow,
         aFlow.mOffers.empty() ? "no-backend-server" : "all-refused",
         aNow);
}

bool
EntryCore::AwaitsCopy(const EntryFlow& aFlow, Instant aNow)
{
  if (aNow - mLastOverload > kOverloadPause) {
    mOverloadSince = aNow;
  }
  mLastOverload = aNow;
  return aNow - mOverloadSince < kShortOverload &&
         aFlow.mPacket.mAcknowledgement < kLastCopy;
}

void
EntryCore::Reject(const FlowId& aId,
                  EntryFlow& aFlow,
                  std::string_view aReason,
                  Instant aNow)
{
  aFlow.mRejected = true;
  mOutput.SendReset(aFlow.mPacket);
  const Refusal last =
    aFlow.mOffers.empty() ? Refusal::None : aFlow.mOffers.back().mRefusal;
  Decide(Verdict::Rejected, aId, aFlow, {}, last, aReason, aNow);
}

EntryCore::Offer*
EntryCore::FindOffer(EntryFlow& aFlow, cluster::NodeIp aAgent)
{
  const auto found =
    std::ranges::find(aFlow.mOffers, aAgent.Value(), [](const Offer& aOffer) {
      return aOffer.mAgent.mIp;
    });
  return found == aFlow.mOffers.end() ? nullptr : &*found;
}

void
EntryCore::LearnLoad(AgentView& aView, const OfferReply& aReply, Instant aNow)
{
  aView.mLoad = aReply.mLoad;
  aView.mLoadAt = aNow;
  aView.mCold = aReply.mCold;
  aView.mUnanswered = 0;
  aView.mLastRefusal = aReply.mRefusal;
  aView.mAvoidUntil = aNow + AvoidTime(aReply.mRefusal);
}

void
EntryCore::OnOfferReply(cluster::NodeIp aFrom,
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
  if (!offer || offer->mState == OfferState::Taken) {
    return;
  }
  AgentView& view = mViews[offer->mAgent];
  LearnLoad(view, aReply, aNow);
  const Duration taken = aNow - offer->mSentAt;
  view.mReplyTime = view.mReplyTime == Duration::zero()
                      ? taken
                      : (view.mReplyTime * 7 + taken) / 8;
  offer->mLoad = aReply.mLoad;
  offer->mRefusal = aReply.mRefusal;
  const bool waited = offer->mState == OfferState::Waiting;
  if (aReply.mRefusal == Refusal::None) {
    offer->mState = OfferState::Taken;
    offer->mBackendSequence = aReply.mBackendSequence;
    if (!flow.mOwner) {
      flow.mOwner = offer->mAgent;
    }
    SetDeadline(aReply.mFlow, flow, std::nullopt);
    Decide(Verdict::Placed,
           aReply.mFlow,
           flow,
           offer->mAgent,
           Refusal::None,
           {},
           aNow);
    return;
  }
  offer->mState = OfferState::Refused;
  Decide(Verdict::Refused,
         aReply.mFlow,
         flow,
         offer->mAgent,
         aReply.mRefusal,
         {},
         aNow);
  if (waited && !flow.mOwner && !flow.mRejected) {
    MakeOffer(aReply.mFlow, flow, aNow);
  }
}

void
EntryCore::SetDeadline(const FlowId& aId,
                       EntryFlow& aFlow,
                       std::optional<Instant> aDeadline)
{
  if (aFlow.mDeadline) {
    mDeadlines.erase({ *aFlow.mDeadline, aId });
  }
  aFlow.mDeadline = aDeadline;
  if (aDeadline) {
    mDeadlines.emplace(*aDeadline, aId);
  }
}

std::optional<Instant>
EntryCore::NextDeadline() const
{
  if (mDeadlines.empty()) {
    return std::nullopt;
  }
  return mDeadlines.begin()->first;
}

void
EntryCore::OnTimer(Instant aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const FlowId id = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mFlows.find(id);
    // After a freeze the flow may have been forgotten, and be known again by a
    // later packet.
    if (found == mFlows.end() || found->second.mOffers.empty()) {
      continue;
    }
    found->second.mDeadline.reset();
    EntryFlow& flow = found->second;
    Offer& offer = flow.mOffers.back();
    offer.mState = OfferState::Late;
    AgentView& view = mViews[offer.mAgent];
    if (view.mUnanswered == 0) {
      view.mSilentSince = offer.mSentAt;
    }
    if (++view.mUnanswered >= kUnansweredLimit) {
      const uint32_t doublings =
        std::min(view.mUnanswered - kUnansweredLimit, 4U);
      view.mAvoidUntil =
        aNow + std::min(kFirstAvoid * (1U << doublings), kLongestAvoid);
    }
    Decide(
      Verdict::Unanswered, id, flow, offer.mAgent, Refusal::None, {}, aNow);
    if (mRepeatBudget.TryRetry()) {
      MakeOffer(id, flow, aNow);
    }
  }
}

std::vector<std::string>
EntryCore::DeadRecords(Instant aNow) const
{
  std::vector<std::string> names;
  for (const auto& [agent, view] : mViews) {
    if (view.mUnanswered >= kDeadOffers &&
        aNow - view.mSilentSince > kDeadAfter) {
      names.push_back(cluster::RecordName(agent));
    }
  }
  return names;
}

size_t
EntryCore::AvoidedAgents(Instant aNow) const
{
  return static_cast<size_t>(
    std::ranges::count_if(mViews, [aNow](const auto& aView) {
      return aNow < aView.second.mAvoidUntil;
    }));
}

} // namespace snipepost::flow

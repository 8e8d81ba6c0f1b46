// Handling of the replies to an entry instance's offers, and of those that do
// not arrive in time.

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

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

} // namespace

Offer*
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
  UpdateWaits(aView, aReply, aNow);
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
  // The second reply to a queued offer follows after the wait in the queue.
  if (offer->mState != OfferState::Queued) {
    const Duration replyTime = aNow - offer->mSentAt;
    view.mReplyTime = view.mReplyTime == Duration::zero()
                        ? replyTime
                        : (view.mReplyTime * 7 + replyTime) / 8;
  }
  // The agent's two replies arrived in reverse order.
  if (aReply.mRefusal == Refusal::Queued &&
      offer->mState == OfferState::Refused) {
    return;
  }
  offer->mLoad = aReply.mLoad;
  offer->mRefusal = aReply.mRefusal;
  if (aReply.mRefusal == Refusal::None) {
    OnAccepted(aReply, flow, *offer, aNow);
  } else if (aReply.mRefusal == Refusal::Queued) {
    OnQueued(aReply, flow, *offer, aNow);
  } else {
    OnRefused(aReply, flow, *offer, aNow);
  }
}

void
FlowEntryCore::OnAccepted(const OfferReply& aReply,
                          EntryFlow& aFlow,
                          Offer& aOffer,
                          Instant aNow)
{
  aOffer.mState = OfferState::Accepted;
  aOffer.mBackendSequence = aReply.mBackendSequence;
  if (!aFlow.mOwner) {
    aFlow.mOwner = aOffer.mAgent;
  }
  SetDeadline(aReply.mFlow, aFlow, std::nullopt);
  CountOutcome(aReply.mFlow, aFlow, aOffer.mServiceTag, true, aNow);
  ReportDecision(Verdict::Placed,
                 aReply.mFlow,
                 aFlow,
                 aOffer.mAgent,
                 Refusal::None,
                 {},
                 aNow);
}

void
FlowEntryCore::OnQueued(const OfferReply& aReply,
                        EntryFlow& aFlow,
                        Offer& aOffer,
                        Instant aNow)
{
  aOffer.mState = OfferState::Queued;
  // The deadline is that of the latest offer, which may be another one.
  if (&aOffer == &aFlow.mOffers.back()) {
    SetDeadline(aReply.mFlow, aFlow, std::nullopt);
  }
  CountOutcome(aReply.mFlow, aFlow, aOffer.mServiceTag, true, aNow);
  ReportDecision(Verdict::Queued,
                 aReply.mFlow,
                 aFlow,
                 aOffer.mAgent,
                 Refusal::Queued,
                 {},
                 aNow);
}

void
FlowEntryCore::OnRefused(const OfferReply& aReply,
                         EntryFlow& aFlow,
                         Offer& aOffer,
                         Instant aNow)
{
  const bool wasPending =
    aOffer.mState == OfferState::Pending || aOffer.mState == OfferState::Queued;
  aOffer.mState = OfferState::Refused;
  ReportDecision(Verdict::Refused,
                 aReply.mFlow,
                 aFlow,
                 aOffer.mAgent,
                 aReply.mRefusal,
                 {},
                 aNow);
  if (!wasPending || aFlow.mOwner || aFlow.mRejected) {
    return;
  }
  // Another agent may still accept the flow: one that holds the SYN, or that
  // has been offered it since a late reply of this one.
  const bool isOpen =
    std::ranges::any_of(aFlow.mOffers, [](const Offer& aOther) {
      return aOther.mState == OfferState::Pending ||
             aOther.mState == OfferState::Queued;
    });
  if (!isOpen) {
    MakeOffer(aReply.mFlow, aFlow, aNow);
    return;
  }
  if (&aOffer == &aFlow.mOffers.back()) {
    SetDeadline(aReply.mFlow, aFlow, std::nullopt);
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
    OnReplyTimeout(tuple, flow, aNow);
  }
}

void
FlowEntryCore::OnReplyTimeout(const FlowTuple& aTuple,
                              EntryFlow& aFlow,
                              Instant aNow)
{
  Offer& offer = aFlow.mOffers.back();
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
    Verdict::Unanswered, aTuple, aFlow, offer.mAgent, Refusal::None, {}, aNow);
  if (!HasQueuedOffer(aFlow) && mRetryBudget.TryRetry()) {
    MakeOffer(aTuple, aFlow, aNow);
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
    const std::string name = cluster::RecordName(agent);
    if (view.mUnansweredOffers >= kDeadOffers &&
        aNow - view.mUnansweredSince > kDeadAfter &&
        !mRecords.IsMissing(name)) {
      names.push_back(name);
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

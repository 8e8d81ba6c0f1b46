// Flows of services that are scheduled by priority: SYNs that agents hold, the
// choice by expected wait or completion, and the throttle.

#include <snipepost/Flow/ExpectedCompletion.h>
#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>
#include <set>

#include <snipepost/Flow/SynSchedule.h>

namespace snipepost::flow {

namespace {

/// True when flows of the route wait for the response at least as long at the
/// agent as at aOther, whose wait it must have reported. An agent decides by
/// the time until the response, or by the wait alone if the request is not
/// idempotent.
bool
WaitsAsLong(const AgentView& aView,
            const AgentView& aOther,
            const cluster::Route& aRoute,
            Instant aNow)
{
  const auto wait = ExpectedWait(aView, aRoute.mPriority, aNow);
  const auto otherWait = ExpectedWait(aOther, aRoute.mPriority, aNow);
  if (!wait || !otherWait || *wait == Duration::zero()) {
    return false;
  }
  const auto service = ReportedServiceTime(aView, aNow);
  const auto otherService = ReportedServiceTime(aOther, aNow);
  if (aRoute.mKind == cluster::RequestKind::Unsafe || !service ||
      !otherService) {
    return *wait >= *otherWait;
  }
  return *wait + *service >= *otherWait + *otherService;
}

/// The bit of one of the route's services, by its position; those beyond the
/// bits share the last one.
uint32_t
ServiceBit(const cluster::Route& aRoute,
           const cluster::WeightedService& aService)
{
  constexpr ptrdiff_t kLastBit = 31;
  const ptrdiff_t position = &aService - aRoute.mServices.data();
  return 1U << std::min(position, kLastBit);
}

} // namespace

void
FlowEntryCore::UpdateThrottles()
{
  std::map<std::string, std::set<uint32_t>> priorities;
  for (const auto& [address, route] : mRoutes->mRoutes) {
    for (const cluster::WeightedService& share : route.mServices) {
      if (share.mWeight > 0) {
        priorities[share.mService].insert(route.mPriority);
      }
    }
  }
  const auto isScheduled = [&](const std::string& aService) {
    const auto found = priorities.find(aService);
    return mOptions.mScheduleFlows && found != priorities.end() &&
           found->second.size() > 1;
  };
  std::erase_if(mThrottles, [&](const auto& aThrottle) {
    return !isScheduled(aThrottle.first);
  });
  for (const auto& [service, values] : priorities) {
    if (isScheduled(service)) {
      mThrottles.try_emplace(service, mOptions.mSeed);
    }
  }
}

void
FlowEntryCore::StartPlacement(const FlowTuple& aTuple,
                              EntryFlow& aFlow,
                              Instant aNow)
{
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  if (route != mRoutes->mRoutes.end() &&
      IsThrottled(aTuple,
                  aFlow,
                  ServiceOf(route->second, aTuple),
                  route->second.mPriority,
                  aNow)) {
    PassOnThrottled(aTuple, aFlow, route->second, aNow);
    return;
  }
  MakeOffer(aTuple, aFlow, aNow);
}

bool
FlowEntryCore::IsThrottled(const FlowTuple& aTuple,
                           const EntryFlow& aFlow,
                           const std::string& aService,
                           uint32_t aPriority,
                           Instant aNow)
{
  // An agent may hold an earlier copy of a retransmitted SYN, which another
  // entry instance offered to it.
  if (aFlow.mSynPacket.mAcknowledgement != 0) {
    return false;
  }
  const auto throttle = mThrottles.find(aService);
  if (throttle == mThrottles.end() ||
      !throttle->second.Refuses(
        aPriority, CallerIp(aTuple.mCaller.mIp), mRandom.Fraction(), aNow)) {
    return false;
  }
  throttle->second.OnThrottled(aPriority, aNow);
  return true;
}

void
FlowEntryCore::CountRefusals(const FlowTuple& aTuple,
                             EntryFlow& aFlow,
                             Instant aNow)
{
  for (const Offer& offer : aFlow.mOffers) {
    if (offer.mRefusal == Refusal::Full) {
      CountOutcome(aTuple, aFlow, offer.mServiceTag, false, aNow);
    }
  }
}

void
FlowEntryCore::CountOutcome(const FlowTuple& aTuple,
                            EntryFlow& aFlow,
                            uint32_t aServiceTag,
                            bool aAccepted,
                            Instant aNow)
{
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  if (mThrottles.empty() || route == mRoutes->mRoutes.end()) {
    return;
  }
  const auto* service = ServiceWithTag(route->second, aServiceTag);
  if (!service) {
    return;
  }
  const auto throttle = mThrottles.find(service->mService);
  if (throttle == mThrottles.end()) {
    return;
  }
  const uint32_t bit = ServiceBit(route->second, *service);
  const uint32_t priority = route->second.mPriority;
  if ((aFlow.mCountedDecided & bit) == 0) {
    aFlow.mCountedDecided |= bit;
    throttle->second.OnDecided(priority, aNow);
  }
  if (aAccepted && (aFlow.mCountedAccepted & bit) == 0) {
    aFlow.mCountedAccepted |= bit;
    throttle->second.OnAccepted(priority, aNow);
  }
}

bool
FlowEntryCore::HasQueuedOffer(const EntryFlow& aFlow)
{
  return std::ranges::find(aFlow.mOffers, OfferState::Queued, &Offer::mState) !=
         aFlow.mOffers.end();
}

bool
FlowEntryCore::ForwardToQueue(const FlowTuple& aTuple,
                              EntryFlow& aFlow,
                              Instant aNow)
{
  const auto held =
    std::ranges::find(aFlow.mOffers, OfferState::Queued, &Offer::mState);
  if (held == aFlow.mOffers.end()) {
    return false;
  }
  const auto record =
    mReplica.Backends().find(cluster::RecordName(held->mAgent));
  if (record == mReplica.Backends().end()) {
    return false;
  }
  RenewQueuedOffer(aFlow, held, aNow);
  SendQueuedSyn(aTuple, aFlow, record->second, aNow);
  return true;
}

// Refusals of the previous SYN are outdated. When a second agent holds the
// flow, too, its reply is still handled, but not waited for.
void
FlowEntryCore::RenewQueuedOffer(EntryFlow& aFlow,
                                std::vector<Offer>::iterator aHeld,
                                Instant aNow)
{
  Offer offer = *aHeld;
  offer.mState = OfferState::Pending;
  offer.mRefusal = Refusal::None;
  offer.mSentAt = aNow;
  aFlow.mOffers.erase(aHeld);
  std::erase_if(aFlow.mOffers, [](const Offer& aOther) {
    return aOther.mState != OfferState::Queued;
  });
  for (Offer& other : aFlow.mOffers) {
    other.mState = OfferState::TimedOut;
  }
  aFlow.mOffers.push_back(offer);
}

void
FlowEntryCore::SendQueuedSyn(const FlowTuple& aTuple,
                             EntryFlow& aFlow,
                             const cluster::BackendRecord& aServer,
                             Instant aNow)
{
  const Offer& offer = aFlow.mOffers.back();
  const AgentView& view = mViews[offer.mAgent];
  SetDeadline(aTuple, aFlow, aNow + ReplyTimeout(CandidateOf(aServer, view)));
  mOutput.SendToAgent(aFlow.mSynBytes,
                      offer.mAgent,
                      ServiceTag(aServer.mService),
                      offer.mMark,
                      IsScheduled(aServer.mService) && ReadsWaits(view, aNow));
}

// Without this, a flow that no agent can serve in time would be offered to
// several, and their replies would take the time in which its caller can retry.
void
FlowEntryCore::RemoveRefusing(const EntryFlow& aFlow,
                              const std::string& aService,
                              const cluster::Route& aRoute,
                              std::vector<Candidate>& aCandidates,
                              Instant aNow) const
{
  std::vector<const AgentView*> refusing;
  for (const Offer& offer : aFlow.mOffers) {
    const auto view = mViews.find(offer.mAgent);
    if (offer.mState == OfferState::Refused &&
        offer.mRefusal == Refusal::Full && view != mViews.end() &&
        IsOfferTo(aFlow, offer, aService)) {
      refusing.push_back(&view->second);
    }
  }
  std::erase_if(aCandidates, [&](const Candidate& aCandidate) {
    return std::ranges::any_of(refusing, [&](const AgentView* aRefusing) {
      return WaitsAsLong(*aCandidate.mView, *aRefusing, aRoute, aNow);
    });
  });
}

bool
FlowEntryCore::OfferForQueueing(const FlowTuple& aTuple,
                                EntryFlow& aFlow,
                                const cluster::Route& aRoute,
                                const std::vector<Candidate>& aCandidates,
                                Instant aNow)
{
  std::vector<Candidate> queues;
  for (const Candidate& candidate : aCandidates) {
    const auto wait = ExpectedWait(*candidate.mView, aRoute.mPriority, aNow);
    if (aNow < candidate.mView->mAvoidUntil) {
      continue;
    }
    if (!wait || *wait == Duration::zero()) {
      return false; // It may have a free slot.
    }
    queues.push_back(candidate);
  }
  if (queues.empty()) {
    return false;
  }
  const auto soonest = SoonestCandidate(queues, aRoute.mPriority, aNow);
  const auto best =
    soonest
      ? queues.begin() + static_cast<std::ptrdiff_t>(*soonest)
      : std::ranges::min_element(queues, {}, [&](const Candidate& aCandidate) {
          const AgentView& view = *aCandidate.mView;
          return *ExpectedWait(view, aRoute.mPriority, aNow) + view.mReplyTime;
        });
  SendOffer(aTuple, aFlow, *best, TransitMark::OfferFinal, aNow);
  return true;
}

std::optional<size_t>
FlowEntryCore::ChooseCandidate(const cluster::Route& aRoute,
                               const std::string& aService,
                               const std::vector<Candidate>& aCandidates,
                               Instant aNow) const
{
  return IsScheduled(aService)
           ? CandidateForFreeSlot(aCandidates, aRoute.mPriority, aNow)
           : BestCandidate(aCandidates, aNow);
}

// A caller that is reset at once can still be served in time by its retry.
bool
FlowEntryCore::RetransmissionIsLate(const FlowTuple& aTuple,
                                    const EntryFlow& aFlow) const
{
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  const uint32_t copy = aFlow.mSynPacket.mAcknowledgement;
  if (route == mRoutes->mRoutes.end() ||
      !IsScheduled(ServiceOf(route->second, aTuple)) ||
      copy >= SynSchedule::kLastCopy) {
    return false;
  }
  // The rest of the target latency is for the wait and the service.
  return SynSchedule::TimeOf(copy + 1) > route->second.mObjective / 2;
}

std::vector<const Offer*>
FlowEntryCore::BusyOffers(const EntryFlow& aFlow, const std::string& aService)
{
  std::vector<const Offer*> busy;
  for (const Offer& offer : aFlow.mOffers) {
    if (offer.mState == OfferState::Refused &&
        offer.mRefusal == Refusal::Busy &&
        offer.mMark != TransitMark::OfferFinal &&
        IsOfferTo(aFlow, offer, aService)) {
      busy.push_back(&offer);
    }
  }
  return busy;
}

const Offer*
FlowEntryCore::BestBusyOffer(const FlowTuple& aTuple,
                             const EntryFlow& aFlow,
                             const std::string& aService,
                             Instant aNow) const
{
  const auto busy = BusyOffers(aFlow, aService);
  if (busy.empty()) {
    return nullptr;
  }
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  const auto waitAt = [&](const Offer* aOffer) {
    const auto view = mViews.find(aOffer->mAgent);
    return view == mViews.end()
             ? std::nullopt
             : ExpectedWait(view->second, route->second.mPriority, aNow);
  };
  const bool allReported =
    route != mRoutes->mRoutes.end() && IsScheduled(aService) &&
    std::ranges::all_of(
      busy, [](const auto& aWait) { return aWait.has_value(); }, waitAt);
  if (!allReported) {
    return *std::ranges::min_element(busy, {}, &Offer::mLoad);
  }
  const Offer* soonest = SoonestOffer(busy, route->second.mPriority, aNow);
  return soonest ? soonest : *std::ranges::min_element(busy, {}, waitAt);
}

const Offer*
FlowEntryCore::SoonestOffer(const std::vector<const Offer*>& aOffers,
                            uint32_t aPriority,
                            Instant aNow) const
{
  std::vector<const Offer*> offers;
  std::vector<Candidate> candidates;
  for (const Offer* offer : aOffers) {
    const auto record =
      mReplica.Backends().find(cluster::RecordName(offer->mAgent));
    const auto view = mViews.find(offer->mAgent);
    if (record != mReplica.Backends().end() && view != mViews.end()) {
      offers.push_back(offer);
      candidates.push_back(CandidateOf(record->second, view->second));
    }
  }
  const auto soonest = SoonestCandidate(candidates, aPriority, aNow);
  return soonest ? offers.at(*soonest) : nullptr;
}

} // namespace snipepost::flow

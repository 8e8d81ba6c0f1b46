#include <snipepost/Flow/FlowScheduler.h>

#include <algorithm>
#include <utility>

#include <snipepost/Flow/SynSchedule.h>

namespace snipepost::flow {

namespace {

/// The part of SynSchedule::kConnectTimeout that a late handshake may take.
constexpr Duration kHandshakeReserve = std::chrono::milliseconds(100);

/// Service times vary around their mean; without a margin, half of the requests
/// that leave the queue at the last moment would be late.
constexpr double kServiceTimeMargin = 1.5;

/// Share of the target latency that the wait and the service may use when a
/// flow is queued. The rest covers the network and what the packet does not
/// show: the caller may have been refused elsewhere before.
constexpr double kTargetShare = 0.5;

Instant
FirstSynTime(const Packet& aSyn, Instant aNow)
{
  return aNow - SynSchedule::TimeOf(aSyn.mAcknowledgement);
}

bool
Serves(const cluster::Route& aRoute, const std::string& aService)
{
  return std::ranges::any_of(
    aRoute.mServices, [&aService](const cluster::WeightedService& aShare) {
      return aShare.mWeight > 0 && aShare.mService == aService;
    });
}

} // namespace

FlowScheduler::FlowScheduler(std::string aService, bool aAllowed)
  : mService(std::move(aService))
  , mAllowed(aAllowed)
{
}

void
FlowScheduler::SetConfig(std::shared_ptr<const cluster::RouteConfig> aConfig)
{
  if (!mAllowed || aConfig == mConfig) {
    return;
  }
  mConfig = std::move(aConfig);
  mLevels.clear();
  for (const auto& [address, route] : mConfig->mRoutes) {
    if (!Serves(route, mService)) {
      continue;
    }
    const auto level =
      std::ranges::find(mLevels, route.mPriority, &Level::mPriority);
    if (level == mLevels.end()) {
      mLevels.push_back({ route.mPriority, route.mObjective });
    } else {
      level->mObjective = std::min(level->mObjective, route.mObjective);
    }
  }
  std::ranges::sort(mLevels, {}, &Level::mPriority);
}

uint32_t
FlowScheduler::Window(const ServerLoad& aLoad, Instant aNow) const
{
  return aLoad.mSlots + mCapacity.LookAhead(aLoad.mSlots, aNow);
}

Duration
FlowScheduler::WaitAtServer(const ServerLoad& aLoad, Instant aNow) const
{
  const uint32_t window = Window(aLoad, aNow);
  if (aLoad.mRequests < window) {
    return Duration::zero();
  }
  return mCapacity.MeanServiceTime() * (aLoad.mRequests - window + 1) /
         std::max(aLoad.mSlots, 1U);
}

Duration
FlowScheduler::WaitAhead(const QueuePosition& aPosition,
                         const ServerLoad& aLoad,
                         Instant aNow) const
{
  return WaitAtServer(aLoad, aNow) +
         mQueue.WaitAhead(aPosition, aLoad.mSlots, aNow) +
         mRequests.WaitAhead(aPosition, aLoad.mSlots, aNow);
}

bool
FlowScheduler::HasRoom(const ServerLoad& aLoad, Instant aNow) const
{
  return !AnyWaiting() && aLoad.mRequests < Window(aLoad, aNow);
}

Duration
FlowScheduler::TimeToResponse(const Address& aRoute,
                              const ServerLoad& aLoad,
                              Instant aNow) const
{
  const Duration lookAhead = mCapacity.MeanServiceTime() *
                             mCapacity.LookAhead(aLoad.mSlots, aNow) /
                             std::max(aLoad.mSlots, 1U);
  return lookAhead + std::chrono::duration_cast<Duration>(
                       mCapacity.ServiceTime(aRoute) * kServiceTimeMargin);
}

std::optional<WaitingFlow>
FlowScheduler::MakeFlow(const Packet& aSyn,
                        cluster::NodeIp aEntry,
                        const ServerLoad& aLoad,
                        Instant aNow) const
{
  const auto route = mConfig->mRoutes.find(aSyn.mDestination);
  if (route == mConfig->mRoutes.end()) {
    return std::nullopt;
  }
  const Instant firstSyn = FirstSynTime(aSyn, aNow);
  WaitingFlow flow;
  flow.mFlow = CallerFlow(aSyn);
  flow.mCallerSequence = aSyn.mSequence;
  flow.mEntry = aEntry;
  flow.mPriority = route->second.mPriority;
  flow.mIdempotent = route->second.mKind != cluster::RequestKind::Unsafe;
  flow.mDeadline = firstSyn + route->second.mObjective;
  flow.mResponseLimit = firstSyn + std::chrono::duration_cast<Duration>(
                                     route->second.mObjective * kTargetShare);
  flow.mExpires = firstSyn + SynSchedule::kConnectTimeout - kHandshakeReserve;
  flow.mSlotTime = mCapacity.ServiceTime(aSyn.mDestination);
  flow.mTimeToResponse = TimeToResponse(aSyn.mDestination, aLoad, aNow);
  return flow;
}

std::optional<WaitingRequest>
FlowScheduler::MakeRequest(const FlowTuple& aFlow,
                           const ServerLoad& aLoad,
                           Instant aNow) const
{
  const auto route = mConfig->mRoutes.find(aFlow.mService);
  if (route == mConfig->mRoutes.end()) {
    return std::nullopt;
  }
  WaitingRequest request;
  request.mFlow = aFlow;
  request.mPriority = route->second.mPriority;
  request.mIdempotent = route->second.mKind != cluster::RequestKind::Unsafe;
  request.mDeadline = aNow + route->second.mObjective;
  request.mForwardBy = aNow + route->second.mTimeout / 2;
  request.mSlotTime = mCapacity.ServiceTime(aFlow.mService);
  request.mTimeToResponse = TimeToResponse(aFlow.mService, aLoad, aNow);
  return request;
}

FlowScheduler::Outcome
FlowScheduler::Offer(WaitingFlow aFlow,
                     TransitMark aMark,
                     const ServerLoad& aLoad,
                     std::vector<WaitingFlow>& aEvicted,
                     Instant aNow)
{
  if (aLoad.mRequests < aLoad.mSlots && !AnyWaiting()) {
    return Outcome::Forwarded;
  }
  if (aMark == TransitMark::OfferIfFree) {
    return Outcome::NoFreeSlot;
  }
  if (HasRoom(aLoad, aNow)) {
    return Outcome::Forwarded;
  }
  const Instant leaves =
    aNow +
    WaitAhead(
      { aFlow.mPriority, aFlow.mDeadline, aFlow.mTimeToResponse }, aLoad, aNow);
  // A request that isn't idempotent can't be retried once it has started, but
  // until then it may wait for as long as its caller does.
  const Instant limit = aFlow.mIdempotent
                          ? aFlow.mResponseLimit - aFlow.mTimeToResponse
                          : aFlow.mExpires;
  if (leaves > limit) {
    return Outcome::TooLate;
  }
  const FlowTuple tuple = aFlow.mFlow;
  auto evicted = mQueue.Push(std::move(aFlow), aNow);
  if (!evicted) {
    return Outcome::Queued;
  }
  if (evicted->mFlow == tuple) {
    return Outcome::TooLate;
  }
  aEvicted.push_back(std::move(*evicted));
  return Outcome::Queued;
}

FlowScheduler::Item
FlowScheduler::Next(const ServerLoad& aLoad, bool aAdmitsFlows, Instant aNow)
{
  if (aLoad.mRequests >= Window(aLoad, aNow)) {
    return {};
  }
  if (mRequests.Size() == 0) {
    auto flow = aAdmitsFlows ? mQueue.Pop(aNow) : std::nullopt;
    return flow ? Item(std::move(*flow)) : Item();
  }
  QueueEntries entries;
  mRequests.Append(entries);
  if (aAdmitsFlows) {
    mQueue.Append(entries, aNow);
  }
  const QueueEntry* next = mQueue.SharedOrder().TakeNext(entries, aNow);
  if (auto request = mRequests.Take(next)) {
    return std::move(*request);
  }
  return mQueue.Take(next);
}

std::vector<WaitingFlow>
FlowScheduler::TakeRefused(Instant aNow)
{
  return mQueue.TakeRefused(aNow, mRequests.AnyInTime(aNow));
}

std::vector<ReportedWait>
FlowScheduler::Waits(const ServerLoad& aLoad, Instant aNow) const
{
  std::vector<ReportedWait> waits;
  for (const Level& level : mLevels) {
    if (waits.size() == OfferReply::kMaxWaits) {
      break;
    }
    const FlowQueue::Order order{ level.mPriority,
                                  aNow + level.mObjective,
                                  mCapacity.MeanServiceTime() };
    const auto priority = static_cast<uint8_t>(
      std::min<uint32_t>(level.mPriority, OfferReply::kMaxPriority));
    waits.push_back({ priority, WaitAhead(order, aLoad, aNow) });
  }
  return waits;
}

} // namespace snipepost::flow

#include <snipepost/Flow/FlowScheduler.h>

#include <algorithm>
#include <array>
#include <utility>

namespace snipepost::flow {

namespace {

/// When callers send a SYN and its retransmissions, after the first one.
constexpr std::array<Duration, 3> kSynTimes = {
  std::chrono::milliseconds(0),
  std::chrono::milliseconds(200),
  std::chrono::milliseconds(600),
};

/// Time for which a caller waits for a SYN-ACK.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1400);

/// The part of kConnectTimeout that a late handshake may take.
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
  const size_t copy =
    std::min<size_t>(aSyn.mAcknowledgement, kSynTimes.size() - 1);
  return aNow - kSynTimes[copy];
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
  flow.mExpires = firstSyn + kConnectTimeout - kHandshakeReserve;
  flow.mSlotTime = mCapacity.ServiceTime(aSyn.mDestination);
  flow.mTimeToResponse = TimeToResponse(aSyn.mDestination, aLoad, aNow);
  return flow;
}

FlowScheduler::Outcome
FlowScheduler::Offer(WaitingFlow aFlow,
                     TransitMark aMark,
                     const ServerLoad& aLoad,
                     std::vector<WaitingFlow>& aEvicted,
                     Instant aNow)
{
  if (aLoad.mRequests < aLoad.mSlots && mQueue.Size() == 0) {
    return Outcome::Forwarded;
  }
  if (aMark == TransitMark::OfferIfFree) {
    return Outcome::NoFreeSlot;
  }
  if (aLoad.mRequests < Window(aLoad, aNow) && mQueue.Size() == 0) {
    return Outcome::Forwarded;
  }
  const Instant leaves =
    aNow + WaitAtServer(aLoad, aNow) +
    mQueue.WaitAhead(
      { aFlow.mPriority, aFlow.mDeadline, aFlow.mTimeToResponse },
      aLoad.mSlots,
      aNow);
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

std::optional<WaitingFlow>
FlowScheduler::Next(const ServerLoad& aLoad, Instant aNow)
{
  if (aLoad.mRequests >= Window(aLoad, aNow)) {
    return std::nullopt;
  }
  return mQueue.Pop(aNow);
}

std::vector<ReportedWait>
FlowScheduler::Waits(const ServerLoad& aLoad, Instant aNow) const
{
  const Duration atServer = WaitAtServer(aLoad, aNow);
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
    waits.push_back(
      { priority, atServer + mQueue.WaitAhead(order, aLoad.mSlots, aNow) });
  }
  return waits;
}

} // namespace snipepost::flow

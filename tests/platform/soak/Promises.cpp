#include "tests/platform/soak/Promises.h"

#include <algorithm>

namespace snipepost::soak {

namespace {

constexpr size_t kMostReported = 20;

std::string
Text(const flow::FlowTuple& aFlow)
{
  return ToString(aFlow.mCaller) + " > " + ToString(aFlow.mService);
}

std::string
Text(LifeId aLife)
{
  return "life " + std::to_string(aLife.Value());
}

} // namespace

Promises::Promises(Instant aStart)
  : mStart(aStart)
  , mNow(aStart)
{
}

void
Promises::Violate(const std::string& aPromise, const std::string& aText)
{
  if (mViolations.size() >= kMostReported) {
    return;
  }
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(mNow - mStart);
  mViolations.push_back(aPromise + " at " + std::to_string(ms.count()) +
                        " ms: " + aText);
}

void
Promises::EndFault()
{
  --mFaults;
  mLastFault = mNow;
}

bool
Promises::Overdue(Instant aSince, Duration aBound) const
{
  return mNow - aSince > aBound && mFaults == 0 &&
         mNow - mLastFault > kStableAfter + aBound;
}

void
Promises::OnRoute(const Address& aRoute, const std::string& aService)
{
  Route& route = mRoutes[aRoute];
  route.mServices.insert(aService);
  route.mRemoved.reset();
}

void
Promises::OnRouteRemoved(const Address& aRoute)
{
  mRoutes[aRoute].mRemoved = mNow;
}

void
Promises::OnEvacuated(const std::string& aDomain)
{
  mEvacuated[aDomain] = mNow;
}

void
Promises::OnTakenBack(const std::string& aDomain)
{
  mEvacuated.erase(aDomain);
}

void
Promises::OnStarted(LifeId aLife, Duration aColdFor)
{
  mLives[aLife].mColdUntil = mNow + aColdFor;
}

void
Promises::OnEnded(LifeId aLife)
{
  mLives[aLife].mAlive = false;
}

void
Promises::OnDrainAcknowledged(LifeId aLife)
{
  Life& life = mLives[aLife];
  if (!life.mDrained) {
    life.mDrained = mNow;
  }
}

void
Promises::OnOpening(LifeId aLife,
                    const std::string& aService,
                    const std::string& aDomain,
                    const flow::FlowTuple& aFlow)
{
  const auto route = mRoutes.find(aFlow.mService);
  if (route == mRoutes.end() || !route->second.mServices.contains(aService)) {
    Violate("route", Text(aFlow) + " reached " + aService);
    return;
  }
  const Instant sent = mSentAt[aFlow];
  if (route->second.mRemoved && sent - *route->second.mRemoved > kConfigBound &&
      Overdue(*route->second.mRemoved, kConfigBound)) {
    Violate("config", Text(aFlow) + " on a removed route");
  }
  const auto evacuated = mEvacuated.find(aDomain);
  if (evacuated != mEvacuated.end() &&
      Overdue(evacuated->second, kEvacuationBound)) {
    Violate("evacuation", Text(aFlow) + " reached domain " + aDomain);
  }
  Life& life = mLives[aLife];
  if (life.mDrained && sent - *life.mDrained > kDrainBound) {
    Violate("drain", Text(aFlow) + " reached " + Text(aLife));
  }
  if (mNow < life.mColdUntil) {
    auto& recent = life.mColdOpenings;
    recent.push_back(mNow);
    while (mNow - recent.front() > std::chrono::seconds(1)) {
      recent.pop_front();
    }
    if (recent.size() > kColdLimit) {
      Violate("cold",
              std::to_string(recent.size()) + " in a second at " + Text(aLife));
    }
  }
}

void
Promises::OnOpened(LifeId aLife,
                   const flow::FlowTuple& aFlow,
                   uint32_t aSequence)
{
  const auto [at, fresh] =
    mOpen.try_emplace(aFlow, OpenFlow{ aLife, aSequence });
  if (!fresh && at->second.mLife != aLife) {
    Violate("one owner", Text(aFlow) + " opened at two backend servers");
  }
}

void
Promises::OnClosed(LifeId aLife, const flow::FlowTuple& aFlow)
{
  const auto found = mOpen.find(aFlow);
  if (found != mOpen.end() && found->second.mLife == aLife) {
    mOpen.erase(found);
  }
}

void
Promises::OnRun(LifeId aLife, const RequestId& aRequest)
{
  if (!mAttemptsRun.try_emplace(aRequest.mAttempt, aLife).second) {
    Violate("at most once",
            "attempt " + std::to_string(aRequest.mAttempt) + " ran twice");
  }
  const auto [order, first] =
    mOrdersRun.try_emplace(aRequest.mOrder, aRequest.mAttempt);
  if (!first && !aRequest.mRepeatable) {
    Violate("at most once",
            "order " + std::to_string(aRequest.mOrder) + " ran again");
  }
}

void
Promises::OnSystemReset(const flow::FlowTuple& aFlow)
{
  const auto found = mOpen.find(aFlow);
  if (found == mOpen.end() || !mLives[found->second.mLife].mAlive) {
    return;
  }
  const auto route = mRoutes.find(aFlow.mService);
  if (route != mRoutes.end() && !route->second.mRemoved) {
    Violate("flow",
            Text(aFlow) + " was reset while " + Text(found->second.mLife) +
              " held it");
  }
}

void
Promises::OnOutcome(bool aServed)
{
  mOutcomes.push_back({ mNow, aServed });
}

double
Promises::ServedShare(Instant aFrom, Instant aTo) const
{
  size_t all = 0;
  size_t served = 0;
  for (const Outcome& outcome : mOutcomes) {
    if (outcome.mAt >= aFrom && outcome.mAt < aTo) {
      ++all;
      served += outcome.mServed ? 1 : 0;
    }
  }
  return all == 0 ? 0.0
                  : static_cast<double>(served) / static_cast<double>(all);
}

void
Promises::CheckRecovered(Instant aFaultsEnded)
{
  const double share = ServedShare(aFaultsEnded + kRecovery, mNow);
  if (share < kRecoveredShare) {
    Violate("recovery", "served " + std::to_string(share));
  }
}

} // namespace snipepost::soak

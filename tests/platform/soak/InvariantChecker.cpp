#include "tests/platform/soak/InvariantChecker.h"

#include <algorithm>

namespace snipepost::soak {

namespace {

/// Further violations are not recorded.
constexpr size_t kMaxViolations = 20;

std::string
Text(const flow::FlowTuple& aFlow)
{
  return ToString(aFlow.mCaller) + " > " + ToString(aFlow.mService);
}

std::string
Text(IncarnationId aIncarnation)
{
  return "incarnation " + std::to_string(aIncarnation.Value());
}

} // namespace

InvariantChecker::InvariantChecker(Instant aStart)
  : mStart(aStart)
  , mNow(aStart)
{
}

void
InvariantChecker::ReportViolation(const std::string& aInvariant,
                                  const std::string& aText)
{
  if (mViolations.size() >= kMaxViolations) {
    return;
  }
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(mNow - mStart);
  mViolations.push_back(aInvariant + " at " + std::to_string(ms.count()) +
                        " ms: " + aText);
}

void
InvariantChecker::EndFault()
{
  --mActiveFaults;
  mLastFaultEnd = mNow;
}

bool
InvariantChecker::Overdue(Instant aSince, Duration aBound) const
{
  return mNow - aSince > aBound && mActiveFaults == 0 &&
         mNow - mLastFaultEnd > kStableAfter + aBound;
}

void
InvariantChecker::OnRouteAdded(const Address& aRoute,
                               const std::string& aService)
{
  Route& route = mRoutes[aRoute];
  route.mServices.insert(aService);
  route.mRemovedAt.reset();
}

void
InvariantChecker::OnRouteRemoved(const Address& aRoute)
{
  mRoutes[aRoute].mRemovedAt = mNow;
}

void
InvariantChecker::OnEvacuated(const std::string& aDomain)
{
  mEvacuated[aDomain] = mNow;
}

void
InvariantChecker::OnEvacuationEnded(const std::string& aDomain)
{
  mEvacuated.erase(aDomain);
}

void
InvariantChecker::OnStarted(IncarnationId aIncarnation, Duration aColdDuration)
{
  mIncarnations[aIncarnation].mColdUntil = mNow + aColdDuration;
}

void
InvariantChecker::OnEnded(IncarnationId aIncarnation)
{
  mIncarnations[aIncarnation].mAlive = false;
}

void
InvariantChecker::OnDrainAcknowledged(IncarnationId aIncarnation)
{
  Incarnation& incarnation = mIncarnations[aIncarnation];
  if (!incarnation.mDrainedAt) {
    incarnation.mDrainedAt = mNow;
  }
}

void
InvariantChecker::OnSynReceived(IncarnationId aIncarnation,
                                const std::string& aService,
                                const std::string& aDomain,
                                const flow::FlowTuple& aFlow)
{
  const auto route = mRoutes.find(aFlow.mService);
  if (route == mRoutes.end() || !route->second.mServices.contains(aService)) {
    ReportViolation("route",
                    Text(aFlow) + " has no route to service " + aService);
    return;
  }
  const Instant sent = mSynSentAt[aFlow];
  if (route->second.mRemovedAt &&
      sent - *route->second.mRemovedAt > kConfigBound &&
      Overdue(*route->second.mRemovedAt, kConfigBound)) {
    ReportViolation("config", Text(aFlow) + " used a removed route");
  }
  const auto evacuated = mEvacuated.find(aDomain);
  if (evacuated != mEvacuated.end() &&
      Overdue(evacuated->second, kEvacuationBound)) {
    ReportViolation("evacuation",
                    Text(aFlow) + " reached evacuated domain " + aDomain);
  }
  Incarnation& incarnation = mIncarnations[aIncarnation];
  if (incarnation.mDrainedAt && sent - *incarnation.mDrainedAt > kDrainBound) {
    ReportViolation("drain",
                    Text(aFlow) + " reached draining " + Text(aIncarnation));
  }
  if (mNow < incarnation.mColdUntil) {
    auto& recent = incarnation.mColdSyns;
    recent.push_back(mNow);
    while (mNow - recent.front() > std::chrono::seconds(1)) {
      recent.pop_front();
    }
    if (recent.size() > kColdLimit) {
      ReportViolation("cold",
                      std::to_string(recent.size()) +
                        " SYNs within a second at cold " + Text(aIncarnation));
    }
  }
}

void
InvariantChecker::OnFlowEstablished(IncarnationId aIncarnation,
                                    const flow::FlowTuple& aFlow,
                                    uint32_t aSequence)
{
  const auto [at, inserted] =
    mOpenFlows.try_emplace(aFlow, OpenFlow{ aIncarnation, aSequence });
  if (!inserted && at->second.mIncarnation != aIncarnation) {
    ReportViolation(
      "one owner",
      Text(aFlow) + " was established at two incarnations of backend servers");
  }
}

void
InvariantChecker::OnFlowClosed(IncarnationId aIncarnation,
                               const flow::FlowTuple& aFlow)
{
  const auto found = mOpenFlows.find(aFlow);
  if (found != mOpenFlows.end() && found->second.mIncarnation == aIncarnation) {
    mOpenFlows.erase(found);
  }
}

void
InvariantChecker::OnExecuted(IncarnationId aIncarnation,
                             const RequestAttempt& aRequest)
{
  if (!mExecutedAttempts.try_emplace(aRequest.mAttempt, aIncarnation).second) {
    ReportViolation("at most once",
                    "attempt " + std::to_string(aRequest.mAttempt) +
                      " was executed twice");
  }
  const auto [request, first] =
    mExecutedRequests.try_emplace(aRequest.mNumber, aRequest.mAttempt);
  if (!first && !aRequest.mIdempotent) {
    ReportViolation("at most once",
                    "request " + std::to_string(aRequest.mNumber) +
                      " is not idempotent, but was executed again");
  }
}

void
InvariantChecker::OnLoadBalancerReset(const flow::FlowTuple& aFlow)
{
  const auto found = mOpenFlows.find(aFlow);
  if (found == mOpenFlows.end() ||
      !mIncarnations[found->second.mIncarnation].mAlive) {
    return;
  }
  const auto route = mRoutes.find(aFlow.mService);
  if (route != mRoutes.end() && !route->second.mRemovedAt) {
    ReportViolation("flow",
                    Text(aFlow) + " was reset by the load balancer while " +
                      Text(found->second.mIncarnation) + " owned it");
  }
}

void
InvariantChecker::OnOutcome(bool aServed)
{
  mOutcomes.push_back({ mNow, aServed });
}

double
InvariantChecker::ServedShare(Instant aFrom, Instant aTo) const
{
  size_t all = 0;
  size_t served = 0;
  for (const Outcome& outcome : mOutcomes) {
    if (outcome.mTime >= aFrom && outcome.mTime < aTo) {
      ++all;
      served += outcome.mServed ? 1 : 0;
    }
  }
  return all == 0 ? 0.0
                  : static_cast<double>(served) / static_cast<double>(all);
}

void
InvariantChecker::CheckRecovered(Instant aFaultsEnded)
{
  const double share = ServedShare(aFaultsEnded + kRecovery, mNow);
  if (share < kMinRecoveredShare) {
    ReportViolation(
      "recovery",
      "too few requests were served after the recovery time: share " +
        std::to_string(share));
  }
}

} // namespace snipepost::soak

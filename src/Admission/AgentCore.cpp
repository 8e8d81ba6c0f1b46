#include <snipepost/Admission/AgentCore.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <snipepost/Admission/Hunting.h>

namespace snipepost {

namespace {

/// As many sheds without a complete response in between mean that the backend
/// server became cold; fewer happen in an ordinary overload.
constexpr uint32_t kShedsUntilCold = 3;

} // namespace

AgentCore::AgentCore(const AgentOptions& aOptions,
                     const AgentConfig& aConfig,
                     const KeyRing& aKeys,
                     Instant aNow)
  : mOptions(aOptions)
  , mConfig(aConfig)
  , mKeys(aKeys)
  , mConnections(aConfig.mConnections)
  , mRamp(aConfig.mSlots, aConfig.mRamp, aNow)
  , mAdaptive(aConfig.mSlots)
  , mQueue(QueueCapacity())
  , mTable(aOptions.mIdempotency)
  , mBudget(aOptions.mRetry)
  , mDrain(aOptions.mDrain)
  , mLease(aOptions.mLease)
{
  UpdateDrain(aNow);
}

HuntingDecision
AgentCore::OnFirstPacket(const FirstPacket& aPacket, Instant aNow) const
{
  const uint32_t threshold = mConfig.mThreshold.value_or(Limit(aNow));
  return Hunt(aPacket,
              { .mAble = AcceptsFlows(aNow),
                .mUnderThreshold = InFlight() + mQueue.Count() < threshold &&
                                   BulkAllowed(aNow) });
}

void
AgentCore::Begin(Instant aNow)
{
  AdvanceDrain(aNow);
  Expire(aNow);
}

Effects
AgentCore::Finish(Instant aNow)
{
  Begin(aNow);
  Dispatch(aNow);
  RejectDelayedBulk(aNow);
  CheckExit();
  return std::exchange(mEffects, {});
}

void
AgentCore::Expire(Instant aNow)
{
  mTable.Expire(aNow);
  for (const RequestQueue::Entry& entry : mQueue.TakeExpired(aNow)) {
    FinishNotRun(mRequests.find(entry.mRequest), RejectReason::DeadlinePassed);
  }
  std::vector<RequestId> late;
  for (const auto& [id, request] : mRequests) {
    if (!request.mCancelled && request.mArrival.mDeadline <= aNow) {
      late.push_back(id);
    }
  }
  for (const RequestId id : late) {
    const auto found = mRequests.find(id);
    if (found != mRequests.end()) {
      ExpireUnqueued(found, aNow);
    }
  }
}

std::optional<Instant>
AgentCore::BulkQueueDeadline(const Request& aRequest) const
{
  const RequestArrived& arrival = aRequest.mArrival;
  if (aRequest.mStage != Stage::Queued || aRequest.mAttempts > 0 ||
      arrival.mClass != RequestClass::Bulk || !arrival.mFlow) {
    return std::nullopt;
  }
  const auto opened = mConnections.OpenedAt(*arrival.mFlow);
  if (!opened || aRequest.mArrived - *opened < mOptions.mNewFlowTime) {
    return std::nullopt;
  }
  return std::max(aRequest.mArrived, mLastBulkPassedOn) +
         mOptions.mBulkQueueTime;
}

void
AgentCore::RejectDelayedBulk(Instant aNow)
{
  if (mQueue.Count() == 0 || BulkAllowed(aNow)) {
    return;
  }
  std::vector<RequestId> delayed;
  for (const auto& [id, request] : mRequests) {
    const auto deadline = BulkQueueDeadline(request);
    if (deadline && *deadline <= aNow) {
      delayed.push_back(id);
    }
  }
  for (const RequestId id : delayed) {
    mQueue.Remove(id);
    FinishNotRun(mRequests.find(id), RejectReason::SlotsHeld);
  }
}

void
AgentCore::ExpireUnqueued(Requests::iterator aRequest, Instant aNow)
{
  Request& request = aRequest->second;
  if (request.mStage == Stage::PassedOn) {
    // The record must be settled before the result of the cancelled exchange
    // arrives, or duplicates would wait past their deadlines.
    FinishUnknown(request, UnknownReason::DeadlinePassed);
    SendCancel(request);
    if (mOptions.mGuards.mAdaptiveLimit) {
      mAdaptive.OnOverload(request.mPassedOn, aNow);
    }
    return;
  }
  if (request.mStage == Stage::Waiting) {
    mTable.StopWaiting(request.mArrival.mKey, aRequest->first);
  } else {
    SendCancel(request);
  }
  FinishUnknown(request, UnknownReason::DeadlinePassed);
  mRequests.erase(aRequest);
}

void
AgentCore::Dispatch(Instant aNow)
{
  if (!LeaseHolds(aNow) || !mBackend.IsReady() || DomainIsOut()) {
    return;
  }
  while (InFlight() < Limit(aNow)) {
    const auto next = mQueue.Pop(BulkAllowed(aNow), BulkShareApplies(aNow));
    if (!next) {
      return;
    }
    Request& request = mRequests.at(next->mRequest);
    request.mStage = Stage::PassedOn;
    request.mPassedOn = aNow;
    if (request.mAttempts++ == 0) {
      mBudget.OnRequest();
    }
    ++mInFlight;
    if (next->mClass == RequestClass::Bulk) {
      ++mBulkInFlight;
      mLastBulkPassedOn = aNow;
    }
    mEffects.emplace_back(PassOn{ next->mRequest, next->mDeadline });
  }
}

void
AgentCore::AdvanceDrain(Instant aNow)
{
  while (mDrain.Advance(aNow)) {
    if (mDrain.Current() == DrainState::Phase::Noticed) {
      mEffects.emplace_back(SendShutdownNotice{});
    } else if (mDrain.Current() == DrainState::Phase::Closing) {
      mConnections.BeginClosing();
      mEffects.emplace_back(SendFinalGoaway{});
    }
  }
  if (mDrain.Current() == DrainState::Phase::Emptying &&
      mOptions.mGuards.mDrainEmptiesQueue) {
    RejectQueue(RejectReason::Draining);
  }
}

void
AgentCore::UpdateDrain(Instant aNow)
{
  if (mConfig.mDraining || mBackend.IsLeaving() || mShutdown) {
    // Without flows there is nobody to warn. An agent that starts beside a
    // leaving backend server must not accept work for another second, nor pass
    // on what other agents relayed to it before it knew.
    mDrain.Start(aNow, mConnections.Count() > 0);
  } else {
    mDrain.Stop();
  }
}

void
AgentCore::RejectQueue(RejectReason aReason)
{
  for (const RequestQueue::Entry& entry : mQueue.TakeAll()) {
    FinishNotRun(mRequests.find(entry.mRequest), aReason);
  }
}

void
AgentCore::LeaveDomain()
{
  RejectQueue(RejectReason::DomainOut);
  std::vector<RequestId> rest;
  for (const auto& [id, request] : mRequests) {
    rest.push_back(id);
  }
  for (const RequestId id : rest) {
    const auto found = mRequests.find(id);
    if (found == mRequests.end()) {
      continue;
    }
    Request& request = found->second;
    if (request.mStage == Stage::Waiting) {
      mTable.StopWaiting(request.mArrival.mKey, id);
    } else {
      SendCancel(request);
    }
    FinishUnknown(request, UnknownReason::DomainOut);
    if (request.mStage != Stage::PassedOn) {
      mRequests.erase(found);
    }
  }
  for (const FlowId flow : mConnections.TakeAll()) {
    mEffects.emplace_back(CloseFlow{ flow });
  }
}

void
AgentCore::CheckExit()
{
  const auto phase = mDrain.Current();
  const bool said =
    phase == DrainState::Phase::Closing || phase == DrainState::Phase::Emptying;
  const bool idle = mRequests.empty() || !mOptions.mGuards.mExitWhenIdle;
  if (mShutdown && said && idle && !mExitSent) {
    mExitSent = true;
    mEffects.emplace_back(ReadyToExit{});
  }
}

void
AgentCore::GoCold(Instant aNow)
{
  mRamp.Restart(aNow);
  mAdaptive.Reset();
  mShedsInARow = 0;
}

void
AgentCore::Measure(const Request& aRequest,
                   const BackendResult& aEvent,
                   Instant aNow)
{
  if (aEvent.mOutcome == BackendOutcome::Broken || aRequest.mCancelled) {
    return;
  }
  if (aEvent.mOutcome == BackendOutcome::Answered) {
    mServiceTime.Record(aRequest.mArrival.mClass, aNow - aRequest.mPassedOn);
    // The request itself counted until now.
    mAdaptive.OnSuccess(InFlight() + 1);
    mShedsInARow = 0;
    return;
  }
  // This includes refusals by a server that leaves: it may be cold as well.
  if (!mOptions.mGuards.mAdaptiveLimit) {
    return;
  }
  mAdaptive.OnOverload(aRequest.mPassedOn, aNow);
  if (++mShedsInARow >= kShedsUntilCold) {
    GoCold(aNow);
  }
}

uint32_t
AgentCore::Limit(Instant aNow) const
{
  uint32_t limit = mConfig.mSlots;
  if (mOptions.mGuards.mColdRamp) {
    limit = mRamp.Limit(aNow);
  }
  const auto warmth = mRamp.Warmth(aNow);
  if (warmth && !mOptions.mGuards.mReportsOnlyLower) {
    limit = std::max(1U, static_cast<uint32_t>(*warmth * mConfig.mSlots));
  }
  return std::min(limit, mAdaptive.Limit());
}

bool
AgentCore::BulkAllowed(Instant aNow) const
{
  const uint32_t kept = mConfig.mBulkService ? 0 : mOptions.mSlotsWithoutBulk;
  return mBulkInFlight + kept < std::max(Limit(aNow), kept + 1);
}

bool
AgentCore::BulkShareApplies(Instant aNow) const
{
  // A long transfer would hold the only slot of a cold or overloaded server
  // while submissions wait. The guarantee returns with the second slot.
  return Limit(aNow) > 1 || mConfig.mSlots == 1;
}

bool
AgentCore::AcceptsFlows(Instant aNow) const
{
  if (mDrain.Current() != DrainState::Phase::Serving || mDrain.NextStep()) {
    return false;
  }
  if (DomainIsOut() || !LeaseHolds(aNow) || !mBackend.IsReady()) {
    return false;
  }
  const bool coldLimitUsed =
    mRamp.IsCold(aNow) && InFlight() + mQueue.Count() >= Limit(aNow);
  return mConnections.HasRoom() && !coldLimitUsed;
}

bool
AgentCore::LeaseHolds(Instant aNow) const
{
  return !mOptions.mGuards.mLease || mLease.Holds(aNow);
}

bool
AgentCore::DomainIsOut() const
{
  return mConfig.mDomainOut && mOptions.mGuards.mDomainOut;
}

size_t
AgentCore::QueueCapacity() const
{
  return size_t{ mConfig.mSlots } * mOptions.mQueuePerSlot;
}

std::optional<Instant>
AgentCore::NextTick(Instant aNow) const
{
  auto next = mDrain.NextStep();
  const auto consider = [&next](std::optional<Instant> aTime) {
    if (aTime && (!next || *aTime < *next)) {
      next = aTime;
    }
  };
  for (const auto& [id, request] : mRequests) {
    if (!request.mCancelled) {
      consider(request.mArrival.mDeadline);
    }
    const auto deadline = BulkQueueDeadline(request);
    // A past one waits for an event: other classes hold the slots.
    if (deadline && *deadline > aNow) {
      consider(*deadline);
    }
  }
  if (mQueue.Count() > 0) {
    consider(mRamp.NextStep(aNow));
  }
  return next;
}

std::string
AgentCore::IssueKeyScope(Instant aNow) const
{
  return WriteKeyScope(
    { mOptions.mAddress, mOptions.mIncarnation, ScopeSeconds(aNow) }, mKeys);
}

AgentLoad
AgentCore::Load(Instant aNow) const
{
  return { .mInFlight = InFlight(),
           .mLimit = Limit(aNow),
           .mQueued = mQueue.Count(),
           .mQueueCapacity = QueueCapacity(),
           .mFlows = mConnections.Count(),
           .mRecords = mTable.Count(),
           .mAcceptsFlows = AcceptsFlows(aNow) };
}

} // namespace snipepost

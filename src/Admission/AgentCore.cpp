#include <snipepost/Admission/AgentCore.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <snipepost/Admission/Hunting.h>

namespace snipepost {

namespace {

/// Consecutive overload results, without a complete response in between, after
/// which the backend server is considered cold. Fewer are normal in an
/// overload.
constexpr uint32_t kOverloadsUntilCold = 3;

} // namespace

AgentCore::AgentCore(const AgentOptions& aOptions,
                     const AgentConfig& aConfig,
                     const KeyRing& aKeys,
                     Instant aNow)
  : mOptions(aOptions)
  , mConfig(aConfig)
  , mKeys(aKeys)
  , mAcceptedFlows(aConfig.mConnections)
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
AgentCore::OnReceivedPacket(const ReceivedPacket& aPacket, Instant aNow) const
{
  const uint32_t threshold = mConfig.mThreshold.value_or(Limit(aNow));
  return Hunt(aPacket,
              { .mCanAccept = AcceptsFlows(aNow),
                .mHasCapacity = InFlight() + mQueue.Count() < threshold &&
                                BulkAllowed(aNow) });
}

void
AgentCore::ApplyTimeLimits(Instant aNow)
{
  AdvanceDrain(aNow);
  Expire(aNow);
}

Effects
AgentCore::FinishEvent(Instant aNow)
{
  ApplyTimeLimits(aNow);
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
    FinishUnanswered(mRequests.find(entry.mRequest),
                     RejectReason::DeadlinePassed);
  }
  std::vector<RequestId> late;
  for (const auto& [id, request] : mRequests) {
    if (!request.mCancelSent && request.mArrival.mDeadline <= aNow) {
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
  const auto opened = mAcceptedFlows.OpenedAt(*arrival.mFlow);
  if (!opened || aRequest.mArrivedAt - *opened < mOptions.mNewFlowTime) {
    return std::nullopt;
  }
  return std::max(aRequest.mArrivedAt, mLastBulkForwardedAt) +
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
    FinishUnanswered(mRequests.find(id), RejectReason::BulkSlotsBusy);
  }
}

void
AgentCore::ExpireUnqueued(Requests::iterator aRequest, Instant aNow)
{
  Request& request = aRequest->second;
  if (request.mStage == Stage::Forwarded) {
    // The record must be completed before the result of the cancelled attempt
    // arrives. Otherwise duplicates would wait past their deadlines.
    FinishUnknown(request, UnknownReason::DeadlinePassed);
    SendCancel(request);
    if (mOptions.mSafeguards.mAdaptiveLimit) {
      mAdaptive.OnOverload(request.mForwardedAt, aNow);
    }
    return;
  }
  if (request.mStage == Stage::Waiting) {
    mTable.RemoveWaiter(request.mArrival.mKey, aRequest->first);
  } else {
    SendCancel(request);
  }
  FinishUnknown(request, UnknownReason::DeadlinePassed);
  mRequests.erase(aRequest);
}

void
AgentCore::Dispatch(Instant aNow)
{
  if (!LeaseIsValid(aNow) || !mBackend.IsReady() || DomainIsOut()) {
    return;
  }
  while (InFlight() < Limit(aNow)) {
    const auto next = mQueue.Pop(BulkAllowed(aNow), BulkShareApplies(aNow));
    if (!next) {
      return;
    }
    Request& request = mRequests.at(next->mRequest);
    request.mStage = Stage::Forwarded;
    request.mForwardedAt = aNow;
    if (request.mAttempts++ == 0) {
      mBudget.OnRequest();
    }
    ++mInFlight;
    if (next->mClass == RequestClass::Bulk) {
      ++mBulkInFlight;
      mLastBulkForwardedAt = aNow;
    }
    mEffects.emplace_back(ForwardRequest{ next->mRequest, next->mDeadline });
  }
}

void
AgentCore::AdvanceDrain(Instant aNow)
{
  while (mDrain.Advance(aNow)) {
    if (mDrain.Current() == DrainState::Phase::Announced) {
      mEffects.emplace_back(SendShutdownNotice{});
    } else if (mDrain.Current() == DrainState::Phase::Closing) {
      mAcceptedFlows.BeginClosing();
      mEffects.emplace_back(SendFinalGoaway{});
    }
  }
  if (mDrain.Current() == DrainState::Phase::Emptying &&
      mOptions.mSafeguards.mDrainEmptiesQueue) {
    RejectQueue(RejectReason::Draining);
  }
}

void
AgentCore::UpdateDrain(Instant aNow)
{
  if (mConfig.mDraining || mBackend.IsDraining() || mShutdown) {
    // Without flows there is no caller to notify, so all phases begin at once.
    // Otherwise, an agent that starts while its backend server is draining
    // would accept requests for another second and forward requests that other
    // agents relayed before the first health report.
    mDrain.Start(aNow, mAcceptedFlows.Count() > 0);
  } else {
    mDrain.Stop();
  }
}

void
AgentCore::RejectQueue(RejectReason aReason)
{
  for (const RequestQueue::Entry& entry : mQueue.TakeAll()) {
    FinishUnanswered(mRequests.find(entry.mRequest), aReason);
  }
}

void
AgentCore::CloseForDomainOut()
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
      mTable.RemoveWaiter(request.mArrival.mKey, id);
    } else {
      SendCancel(request);
    }
    FinishUnknown(request, UnknownReason::DomainOut);
    if (request.mStage != Stage::Forwarded) {
      mRequests.erase(found);
    }
  }
  for (const FlowId flow : mAcceptedFlows.TakeAll()) {
    mEffects.emplace_back(CloseFlow{ flow });
  }
}

void
AgentCore::CheckExit()
{
  const auto phase = mDrain.Current();
  const bool goawaySent =
    phase == DrainState::Phase::Closing || phase == DrainState::Phase::Emptying;
  const bool idle = mRequests.empty() || !mOptions.mSafeguards.mExitWhenIdle;
  if (mShutdown && goawaySent && idle && !mExitSent) {
    mExitSent = true;
    mEffects.emplace_back(ReadyToExit{});
  }
}

void
AgentCore::MarkCold(Instant aNow)
{
  mRamp.Restart(aNow);
  mAdaptive.Reset();
  mConsecutiveOverloads = 0;
}

void
AgentCore::RecordOutcome(const Request& aRequest,
                         const BackendResult& aEvent,
                         Instant aNow)
{
  if (aEvent.mOutcome == BackendOutcome::Broken || aRequest.mCancelSent) {
    return;
  }
  if (aEvent.mOutcome == BackendOutcome::Answered) {
    mServiceTime.Record(aRequest.mArrival.mClass, aNow - aRequest.mForwardedAt);
    // InFlight() no longer includes this request.
    mAdaptive.OnSuccess(InFlight() + 1);
    mConsecutiveOverloads = 0;
    return;
  }
  // A refusal by a draining server counts as an overload, too, because a
  // draining server may be cold as well.
  if (!mOptions.mSafeguards.mAdaptiveLimit) {
    return;
  }
  mAdaptive.OnOverload(aRequest.mForwardedAt, aNow);
  if (++mConsecutiveOverloads >= kOverloadsUntilCold) {
    MarkCold(aNow);
  }
}

uint32_t
AgentCore::Limit(Instant aNow) const
{
  uint32_t limit = mConfig.mSlots;
  if (mOptions.mSafeguards.mColdRamp) {
    limit = mRamp.Limit(aNow);
  }
  const auto warmth = mRamp.Warmth(aNow);
  if (warmth && !mOptions.mSafeguards.mReportsOnlyLower) {
    limit = std::max(1U, static_cast<uint32_t>(*warmth * mConfig.mSlots));
  }
  return std::min(limit, mAdaptive.Limit());
}

bool
AgentCore::BulkAllowed(Instant aNow) const
{
  const uint32_t reserved =
    mConfig.mBulkService ? 0 : mOptions.mSlotsWithoutBulk;
  return mBulkInFlight + reserved < std::max(Limit(aNow), reserved + 1);
}

bool
AgentCore::BulkShareApplies(Instant aNow) const
{
  // A long transfer would occupy the only slot of a cold or overloaded server
  // while submissions wait. The guarantee applies from the second slot on, or
  // when only one is configured.
  return Limit(aNow) > 1 || mConfig.mSlots == 1;
}

bool
AgentCore::AcceptsFlows(Instant aNow) const
{
  if (mDrain.Current() != DrainState::Phase::Serving || mDrain.NextStep()) {
    return false;
  }
  if (DomainIsOut() || !LeaseIsValid(aNow) || !mBackend.IsReady()) {
    return false;
  }
  const bool coldLimitUsed =
    mRamp.IsCold(aNow) && InFlight() + mQueue.Count() >= Limit(aNow);
  return mAcceptedFlows.HasRoom() && !coldLimitUsed;
}

bool
AgentCore::LeaseIsValid(Instant aNow) const
{
  return !mOptions.mSafeguards.mLease || mLease.IsValid(aNow);
}

bool
AgentCore::DomainIsOut() const
{
  return mConfig.mDomainOut && mOptions.mSafeguards.mDomainOut;
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
    if (!request.mCancelSent) {
      consider(request.mArrival.mDeadline);
    }
    const auto deadline = BulkQueueDeadline(request);
    // A past deadline needs no tick: the request is still queued because
    // requests of other classes occupy the slots, and it is checked again on
    // every event.
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
    { mOptions.mAddress, mOptions.mIncarnation, WholeSeconds(aNow) }, mKeys);
}

AgentLoad
AgentCore::Load(Instant aNow) const
{
  return { .mInFlight = InFlight(),
           .mLimit = Limit(aNow),
           .mQueued = mQueue.Count(),
           .mQueueCapacity = QueueCapacity(),
           .mFlows = mAcceptedFlows.Count(),
           .mRecords = mTable.Count(),
           .mAcceptsFlows = AcceptsFlows(aNow) };
}

} // namespace snipepost

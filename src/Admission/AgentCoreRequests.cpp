#include <snipepost/Admission/AgentCore.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace snipepost {

uint32_t
AgentCore::WholeSeconds(Instant aNow)
{
  const auto time = aNow.time_since_epoch();
  return static_cast<uint32_t>(
    std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

bool
AgentCore::ResolveByKey(const RequestArrived& aEvent, Instant aNow)
{
  if (aEvent.mIdempotent || aEvent.mKey.empty()) {
    return false;
  }
  return ResolveByRecord(aEvent) || ResolveByScope(aEvent, aNow);
}

bool
AgentCore::ResolveByRecord(const RequestArrived& aEvent)
{
  const auto* record = mTable.Find(aEvent.mKey);
  if (!record || !mOptions.mSafeguards.mIdempotencyTable) {
    return false;
  }
  const RequestId id = aEvent.mRequest;
  if (record->mDigest != aEvent.mDigest) {
    mEffects.emplace_back(RespondKeyReused{ id });
    return true;
  }
  switch (record->mState) {
    case IdempotencyTable::State::Absent:
      return false;
    case IdempotencyTable::State::Completed:
      mEffects.emplace_back(ReplayResponse{ id, record->mResponse });
      return true;
    case IdempotencyTable::State::Unknown:
      mEffects.emplace_back(
        RespondOutcomeUnknown{ id, UnknownReason::NotStored });
      return true;
    case IdempotencyTable::State::InProgress:
      break;
  }
  if (!mTable.AddWaiter(aEvent.mKey, id)) {
    mEffects.emplace_back(
      RespondOutcomeUnknown{ id, UnknownReason::TooManyDuplicates });
    return true;
  }
  mRequests[id] = Request{ .mArrival = aEvent, .mStage = Stage::Waiting };
  return true;
}

bool
AgentCore::ResolveByScope(const RequestArrived& aEvent, Instant aNow)
{
  const RequestId id = aEvent.mRequest;
  const auto unknown = [&](UnknownReason aReason) {
    mEffects.emplace_back(RespondOutcomeUnknown{ id, aReason });
    return true;
  };
  const auto parsed = ParseIdempotencyKey(aEvent.mKey, mKeys);
  if (!parsed.mScope && parsed.mError == KeyScopeError::Unverified) {
    return unknown(UnknownReason::UnverifiedScope);
  }
  if (!parsed.mScope ||
      aEvent.mKey.size() > mOptions.mIdempotency.mMaxKeyBytes) {
    mEffects.emplace_back(Reject{ id, RejectReason::MalformedKey });
    return true;
  }
  const KeyScope& scope = *parsed.mScope;
  if (scope.mAgent != mOptions.mAddress) {
    if (!aEvent.mFlow) {
      return unknown(UnknownReason::RelayLoop);
    }
    RelayTo(aEvent, scope.mAgent);
    return true;
  }
  if (scope.mIncarnation != mOptions.mIncarnation &&
      mOptions.mSafeguards.mIncarnationCheck) {
    return unknown(UnknownReason::OtherIncarnation);
  }
  const Instant issued{ std::chrono::seconds(scope.mIssued) };
  const bool expired = aNow - issued > mOptions.mIdempotency.mScopeValidity;
  if ((expired || issued > aNow) && mOptions.mSafeguards.mScopeExpiry) {
    return unknown(UnknownReason::ScopeExpired);
  }
  return false;
}

void
AgentCore::RelayTo(const RequestArrived& aEvent, Address aAgent)
{
  const RequestId id = aEvent.mRequest;
  const auto relays =
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aEntry) {
      return aEntry.second.mStage == Stage::Relayed;
    });
  // Not rejected: a request with this key may have run at the other agent.
  if (static_cast<size_t>(relays) >= mOptions.mIdempotency.mMaxRelays) {
    mEffects.emplace_back(
      RespondOutcomeUnknown{ id, UnknownReason::TooManyRelays });
    return;
  }
  mRequests[id] = Request{ .mArrival = aEvent, .mStage = Stage::Relayed };
  mEffects.emplace_back(Relay{ id, aAgent });
}

std::optional<RejectReason>
AgentCore::AdmissionError(const RequestArrived& aEvent, Instant aNow) const
{
  if (DomainIsOut()) {
    return RejectReason::DomainOut;
  }
  if (!LeaseIsValid(aNow)) {
    return RejectReason::LeaseExpired;
  }
  const auto phase = mDrain.Current();
  const bool flowClosing =
    aEvent.mFlow && mAcceptedFlows.IsClosing(*aEvent.mFlow);
  const bool goawaySent =
    phase == DrainState::Phase::Closing || phase == DrainState::Phase::Emptying;
  if ((goawaySent || flowClosing) && mOptions.mSafeguards.mDrainRejects) {
    return RejectReason::Draining;
  }
  return QueueError(aEvent, aNow);
}

std::optional<RejectReason>
AgentCore::QueueError(const RequestArrived& aEvent, Instant aNow) const
{
  const auto rejection =
    mQueue.Check({ aEvent.mRequest, aEvent.mClass, aEvent.mDeadline },
                 Limit(aNow),
                 InFlight(),
                 mOptions.mRefuseByEstimate ? mServiceTime : ServiceTime(),
                 aNow);
  if (!rejection) {
    return std::nullopt;
  }
  return *rejection == RequestQueue::Rejection::Full
           ? RejectReason::QueueFull
           : RejectReason::DeadlineTooShort;
}

void
AgentCore::Admit(const RequestArrived& aEvent, Instant aNow)
{
  auto error = AdmissionError(aEvent, aNow);
  const bool recorded = !aEvent.mIdempotent && !aEvent.mKey.empty();
  if (!error && recorded && !mTable.Begin(aEvent.mKey, aNow, aEvent.mDigest)) {
    error = RejectReason::IdempotencyTableFull;
  }
  if (error) {
    mEffects.emplace_back(Reject{ aEvent.mRequest, *error });
    return;
  }
  mRequests[aEvent.mRequest] =
    Request{ .mArrival = aEvent, .mArrivedAt = aNow };
  Enqueue(aEvent);
}

void
AgentCore::Enqueue(const RequestArrived& aEvent)
{
  const auto evicted =
    mQueue.Push({ aEvent.mRequest, aEvent.mClass, aEvent.mDeadline });
  if (evicted) {
    FinishUnanswered(mRequests.find(evicted->mRequest),
                     RejectReason::QueueFull);
  }
}

void
AgentCore::CompleteAttempt(Requests::iterator aRequest,
                           const BackendResult& aEvent,
                           Instant aNow)
{
  Request& request = aRequest->second;
  switch (aEvent.mOutcome) {
    case BackendOutcome::Answered:
    case BackendOutcome::Shed:
      FinishAnswered(request, aEvent);
      mRequests.erase(aRequest);
      return;
    case BackendOutcome::Refused:
      break;
    case BackendOutcome::Broken:
    case BackendOutcome::TimedOut:
      request.mMayHaveRun = true;
      break;
  }
  if (MayRetry(request, aEvent, aNow)) {
    request.mStage = Stage::Queued;
    // Passes a copy, because Enqueue() may evict and erase this request.
    Enqueue(RequestArrived(request.mArrival));
    return;
  }
  FinishUnanswered(aRequest, RejectReason::RefusedByBackend);
}

bool
AgentCore::MayRetry(const Request& aRequest,
                    const BackendResult& aEvent,
                    Instant aNow)
{
  const bool retryUseful = !aRequest.mResolved && !aRequest.mCancelSent &&
                           !aEvent.mResponseStarted &&
                           aEvent.mOutcome != BackendOutcome::TimedOut;
  // A refusal states that the request did not run. Rejecting the request relies
  // on this as well, because the caller then sends it again.
  const bool didNotRun =
    aEvent.mOutcome == BackendOutcome::Refused && !aRequest.mMayHaveRun;
  const bool safeToRepeat = aRequest.mArrival.mIdempotent || didNotRun ||
                            !mOptions.mSafeguards.mForwardOnce;
  if (!retryUseful || !safeToRepeat || DomainIsOut() ||
      mDrain.Current() == DrainState::Phase::Emptying ||
      aRequest.mAttempts >= mOptions.mRetry.mMaxAttempts ||
      QueueError(aRequest.mArrival, aNow)) {
    return false;
  }
  return mBudget.TryRetry() || !mOptions.mSafeguards.mRetryBudget;
}

void
AgentCore::FinishUnanswered(Requests::iterator aRequest, RejectReason aReason)
{
  Request& request = aRequest->second;
  if (request.mMayHaveRun && mOptions.mSafeguards.mUnknownAfterForward) {
    FinishUnknown(request, UnknownReason::BackendBroken);
    mRequests.erase(aRequest);
    return;
  }
  if (!request.mResolved) {
    mEffects.emplace_back(Reject{ aRequest->first, aReason });
  }
  if (request.HasRecord()) {
    for (const RequestId waiter : mTable.Discard(request.mArrival.mKey)) {
      mEffects.emplace_back(
        Reject{ waiter, RejectReason::FirstRequestRejected });
      mRequests.erase(waiter);
    }
  }
  mRequests.erase(aRequest);
}

void
AgentCore::FinishUnknown(Request& aRequest, UnknownReason aReason)
{
  const RequestId id = aRequest.mArrival.mRequest;
  if (!std::exchange(aRequest.mResolved, true)) {
    mEffects.emplace_back(RespondOutcomeUnknown{ id, aReason });
  }
  if (!aRequest.HasRecord() || aRequest.mStage == Stage::Waiting) {
    return;
  }
  for (const RequestId waiter : mTable.SetUnknown(aRequest.mArrival.mKey)) {
    mEffects.emplace_back(RespondOutcomeUnknown{ waiter, aReason });
    mRequests.erase(waiter);
  }
}

void
AgentCore::FinishAnswered(Request& aRequest, const BackendResult& aEvent)
{
  if (!aRequest.HasRecord()) {
    return;
  }
  const std::string& key = aRequest.mArrival.mKey;
  const auto waiters = mTable.Complete(key, aEvent.mResponse);
  const auto* record = mTable.Find(key);
  const bool stored =
    record && record->mState == IdempotencyTable::State::Completed;
  for (const RequestId waiter : waiters) {
    if (stored) {
      mEffects.emplace_back(ReplayResponse{ waiter, record->mResponse });
    } else {
      mEffects.emplace_back(
        RespondOutcomeUnknown{ waiter, UnknownReason::NotStored });
    }
    mRequests.erase(waiter);
  }
}

void
AgentCore::SendCancel(Request& aRequest)
{
  if (!std::exchange(aRequest.mCancelSent, true)) {
    mEffects.emplace_back(Cancel{ aRequest.mArrival.mRequest });
  }
}

void
AgentCore::CancelRequest(RequestId aRequest)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  Request& request = found->second;
  request.mResolved = true;
  switch (request.mStage) {
    case Stage::Queued:
      CancelQueued(found);
      return;
    case Stage::Forwarded:
      // With a key, the caller can fetch the response with a retry.
      if (!request.HasRecord()) {
        SendCancel(request);
      }
      return;
    case Stage::Waiting:
      mTable.RemoveWaiter(request.mArrival.mKey, aRequest);
      break;
    case Stage::Relayed:
      SendCancel(request);
      break;
  }
  mRequests.erase(found);
}

void
AgentCore::CancelQueued(Requests::iterator aRequest)
{
  const Request& request = aRequest->second;
  const auto* record =
    request.HasRecord() ? mTable.Find(request.mArrival.mKey) : nullptr;
  // Waiting duplicates still need the response.
  if (record && !record->mWaiters.empty()) {
    return;
  }
  mQueue.Remove(aRequest->first);
  // Nothing is sent: the caller cancelled the request, and no duplicate waits.
  FinishUnanswered(aRequest, RejectReason::FirstRequestRejected);
}

} // namespace snipepost

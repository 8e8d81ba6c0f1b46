#include <snipepost/Admission/AgentCore.h>

#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace snipepost {

Effects
AgentCore::OnFlowOpened(const FlowOpened& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  if (DomainIsOut() || !mAcceptedFlows.Open(aEvent.mFlow, aNow)) {
    mEffects.emplace_back(CloseFlow{ aEvent.mFlow });
  }
  return FinishEvent(aNow);
}

Effects
AgentCore::OnFlowClosed(const FlowClosed& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  mAcceptedFlows.Close(aEvent.mFlow);
  std::vector<RequestId> requestsOfFlow;
  for (const auto& [id, request] : mRequests) {
    if (request.mArrival.mFlow == aEvent.mFlow) {
      requestsOfFlow.push_back(id);
    }
  }
  for (const RequestId id : requestsOfFlow) {
    CancelRequest(id);
  }
  return FinishEvent(aNow);
}

Effects
AgentCore::OnRequest(const RequestArrived& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  if (!ResolveByKey(aEvent, aNow)) {
    Admit(aEvent, aNow);
  }
  return FinishEvent(aNow);
}

Effects
AgentCore::OnRequestCancelled(const RequestCancelled& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  CancelRequest(aEvent.mRequest);
  return FinishEvent(aNow);
}

Effects
AgentCore::OnRelayFinished(const RelayFinished& aEvent, Instant aNow)
{
  const auto found = mRequests.find(aEvent.mRequest);
  if (found != mRequests.end() && found->second.mStage == Stage::Relayed) {
    mRequests.erase(found);
  }
  return FinishEvent(aNow);
}

Effects
AgentCore::OnBackendResult(const BackendResult& aEvent, Instant aNow)
{
  // Deadlines are checked afterwards, so that a response that arrived is
  // delivered instead of being reported as late.
  AdvanceDrain(aNow);
  const auto found = mRequests.find(aEvent.mRequest);
  if (found != mRequests.end() && found->second.mStage == Stage::Forwarded) {
    --mInFlight;
    if (found->second.mArrival.mClass == RequestClass::Bulk) {
      --mBulkInFlight;
    }
    mQueue.RecordSlotTime(found->second.mArrival.mClass,
                          aNow - found->second.mForwardedAt);
    RecordOutcome(found->second, aEvent, aNow);
    CompleteAttempt(found, aEvent, aNow);
  }
  return FinishEvent(aNow);
}

Effects
AgentCore::OnBackendState(const BackendState& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  const auto result = mBackend.Update(aEvent);
  if (result == BackendTracker::UpdateResult::StaleReport) {
    UpdateDrain(aNow);
    return FinishEvent(aNow);
  }
  if (result == BackendTracker::UpdateResult::Restarted ||
      (result == BackendTracker::UpdateResult::ConnectionChanged &&
       mOptions.mSafeguards.mColdOnDisconnect)) {
    MarkCold(aNow);
  }
  if (aEvent.mWarmth) {
    mRamp.ReportWarmth(*aEvent.mWarmth, aNow);
  }
  if (aEvent.mSlots) {
    mRamp.ReportSlots(*aEvent.mSlots, aNow);
  }
  UpdateDrain(aNow);
  return FinishEvent(aNow);
}

Effects
AgentCore::OnConfig(const ConfigChanged& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  const AgentConfig previous = std::exchange(mConfig, aEvent.mConfig);
  mAcceptedFlows.Configure(mConfig.mConnections);
  mRamp.Configure(mConfig.mSlots, mConfig.mRamp);
  mAdaptive.Configure(mConfig.mSlots);
  mQueue.Configure(QueueCapacity());
  UpdateDrain(aNow);
  if (previous.mDomainOut && !mConfig.mDomainOut) {
    MarkCold(aNow);
  }
  if (DomainIsOut() && !previous.mDomainOut) {
    CloseForDomainOut();
  }
  return FinishEvent(aNow);
}

Effects
AgentCore::OnLease(const LeaseChanged& aEvent, Instant aNow)
{
  ApplyTimeLimits(aNow);
  mLease.Update(aEvent.mEnd, aEvent.mStoreOut);
  return FinishEvent(aNow);
}

Effects
AgentCore::OnConfirmedByEntry(const ConfirmedByEntry& /*aEvent*/, Instant aNow)
{
  ApplyTimeLimits(aNow);
  mLease.Confirm(aNow);
  return FinishEvent(aNow);
}

Effects
AgentCore::OnShutdown(const ShutdownRequested& /*aEvent*/, Instant aNow)
{
  ApplyTimeLimits(aNow);
  mShutdown = true;
  UpdateDrain(aNow);
  return FinishEvent(aNow);
}

Effects
AgentCore::OnTick(const Tick& /*aEvent*/, Instant aNow)
{
  return FinishEvent(aNow);
}

Effects
AgentCore::Handle(const Event& aEvent, Instant aNow)
{
  return std::visit(
    [&](const auto& aOne) {
      using Type = std::decay_t<decltype(aOne)>;
      if constexpr (std::is_same_v<Type, FlowOpened>) {
        return OnFlowOpened(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, FlowClosed>) {
        return OnFlowClosed(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, RequestArrived>) {
        return OnRequest(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, RequestCancelled>) {
        return OnRequestCancelled(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, RelayFinished>) {
        return OnRelayFinished(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, BackendResult>) {
        return OnBackendResult(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, BackendState>) {
        return OnBackendState(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, ConfigChanged>) {
        return OnConfig(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, LeaseChanged>) {
        return OnLease(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, ConfirmedByEntry>) {
        return OnConfirmedByEntry(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, ShutdownRequested>) {
        return OnShutdown(aOne, aNow);
      } else {
        static_assert(std::is_same_v<Type, Tick>);
        return OnTick(aOne, aNow);
      }
    },
    aEvent);
}

} // namespace snipepost
